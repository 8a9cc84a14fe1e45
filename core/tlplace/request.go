package tlplace

import "time"

// Owner identifies the instance that serves a request for its caller.
type Owner struct {
	Name        string
	Incarnation uint64
}

// Request is a generation that needs a booking.
type Request struct {
	// ID identifies one attempt of the caller.
	ID string
	// Owner is the instance that receives the decision.
	Owner Owner
	// DataCentre is the owner's data centre.
	DataCentre string
	// Prompt is the length of the prompt, in tokens.
	Prompt int
	// Output is the expected length of the answer, in tokens.
	Output int
	// Rank is the priority of the request's organisation and route; 0 is the most urgent.
	Rank int
	// Organisation is the caller's organisation, and Weight what it may have in relation to
	// others; empty and 0 if there is none.
	Organisation string
	Weight       float64
	// Due is when the first event has to reach the caller to be on time.
	Due time.Time
	// Gap is the longest pause between events for which an answer is on time; 0 if there is none.
	Gap time.Duration
	// GiveUp is when the caller gives up if it has received nothing.
	GiveUp time.Time
	// Deadline is when the answer has to be complete.
	Deadline time.Time
	// PrefillKeptUntil is until when the finished prefill of the prompt is kept; zero where there is none.
	PrefillKeptUntil time.Time
	// PrefillVersion is the version of the engine that has read it.
	PrefillVersion string
	// Version is the only version of engines that may run the request; empty if any may.
	Version string
	// HasBegun is set once the caller has received events and waits for the next.
	HasBegun bool
	// Continues says that it goes on within the answer that its caller is reading, which can't
	// be told when to return.
	Continues bool
	// Avoid lists the IDs of engines that failed the request, leave, or want rest.
	Avoid []string

	arrived time.Time
	// shareLevel is the level of the organisation's share, as of the last sorting.
	shareLevel int
}

// tokens returns the memory to book, in tokens, rounded up to whole blocks.
func (r *Request) tokens(o *Options) int {
	n := r.Prompt + int(o.OutputShare*float64(r.Output))
	return (n + o.BlockSize - 1) / o.BlockSize * o.BlockSize
}

func (r *Request) avoids(engine string) bool {
	for _, a := range r.Avoid {
		if a == engine {
			return true
		}
	}
	return false
}

// accepts reports whether an engine may be chosen for the request.
func (r *Request) accepts(e *engine) bool {
	return e.hasVersion(r.Version) && !r.avoids(e.ID)
}

// isRestricted reports whether the request may not be sent to all engines.
func (r *Request) isRestricted() bool {
	return r.Version != "" || len(r.Avoid) > 0
}

// startedOrder returns 0 for a request that has begun, which sorts before all others, and 1 for those.
func (r *Request) startedOrder() int {
	if r.HasBegun {
		return 0
	}
	return 1
}

// isPrefillKept reports whether a finished prefill of the prompt is still kept.
func (r *Request) isPrefillKept(now time.Time) bool {
	return now.Before(r.PrefillKeptUntil)
}
