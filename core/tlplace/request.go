package tlplace

import "time"

// Owner is an instance that serves a request for its caller.
type Owner struct {
	Name        string
	Incarnation uint64
}

// Request is a generation that wants a place.
type Request struct {
	// ID is the attempt of the caller.
	ID string
	// Owner is told the decision.
	Owner Owner
	// DataCentre is where the owner stands.
	DataCentre string
	// Prompt is the number of tokens to read.
	Prompt int
	// Output is the number of tokens that the answer is expected to have.
	Output int
	// Rank is the route's, 0 being the most urgent.
	Rank int
	// Due is when the first event has to reach the caller to be on time.
	Due time.Time
	// GiveUp is when the caller leaves if nothing has come.
	GiveUp time.Time
	// Deadline is when the answer has to be complete.
	Deadline time.Time
	// ReadUntil is until when the prompt, which was read, is kept; zero where it was not.
	ReadUntil time.Time
	// HasBegun says that the caller has had events already, and waits for the next.
	HasBegun bool
	// Avoid names engines that failed the request.
	Avoid []string

	arrived time.Time
}

// tokens returns the memory to book, in whole blocks.
func (r Request) tokens(o Options) int {
	n := r.Prompt + int(o.OutputShare*float64(r.Output))
	return (n + o.Block - 1) / o.Block * o.Block
}

func (r Request) avoids(engine string) bool {
	for _, a := range r.Avoid {
		if a == engine {
			return true
		}
	}
	return false
}

// order is 0 for a request that has begun, which goes before all others.
func (r Request) order() int {
	if r.HasBegun {
		return 0
	}
	return 1
}

// isRead says whether the prompt was read, and is still kept.
func (r Request) isRead(now time.Time) bool {
	return now.Before(r.ReadUntil)
}
