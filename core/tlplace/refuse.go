package tlplace

import (
	"time"

	"trefoillanding/core/tlendpoint"
)

const (
	// minRetryAfter is the shortest time after which a refused caller is asked to retry.
	minRetryAfter = 300 * time.Millisecond
	// maxRetryAfter is the longest: callers give up after a few seconds in all.
	maxRetryAfter = 4 * time.Second
	// defaultRoomWait is the time to return where none can be estimated: with no decode engines, or none in use.
	defaultRoomWait = time.Second
)

// refuseImpossible refuses a request that no engine could ever run.
func (b *Book) refuseImpossible(now time.Time, r *Request) (Decision, bool) {
	if r.tokens(&b.o) > b.o.bookable() {
		return b.refusal(now, r, TooLarge, maxRetryAfter), true
	}
	if !b.hasDecoder(anyVersion) {
		return b.refusal(now, r, NoEngines, defaultRoomWait), true
	}
	if !b.hasDecoder(r.Version) {
		return b.refusal(now, r, NoVersion, defaultRoomWait), true
	}
	return Decision{}, false
}

// refuseEarly refuses a request on arrival if memory is not expected to be free before its latest start.
func (b *Book) refuseEarly(now time.Time, r *Request) (Decision, bool) {
	if d, impossible := b.refuseImpossible(now, r); impossible {
		return d, true
	}
	if len(b.waiting) == 0 {
		return Decision{}, false
	}
	w, known := b.roomWait(r)
	if known && b.latestStart(r).Before(now.Add(w)) {
		return b.refusal(now, r, WaitTooLong, w), true
	}
	return Decision{}, false
}

// latestStart returns the latest time to start a request so that its first event
// comes before the caller gives up, and its last before the deadline; what is not
// known of the engines counts as no time.
func (b *Book) latestStart(r *Request) time.Time {
	read := b.prefillTime(r.Prompt, latestStartSlowness)
	first := r.GiveUp.Add(-read - b.o.StartMargin)
	if r.Deadline.IsZero() || r.HasBegun {
		return first
	}
	run := time.Duration(latestStartOutputShare * float64(b.rates.AnswerTime(r.Output)))
	last := r.Deadline.Add(-read - run)
	if last.Before(first) {
		return last
	}
	return first
}

const (
	// latestStartSlowness is the prefill slowness assumed for the latest start.
	latestStartSlowness = 2
	// latestStartOutputShare is the share of the answer's expected duration assumed for
	// the latest start: the expected length is often far off, and a request that could
	// still be served must not be refused.
	latestStartOutputShare = 0.6
)

// anyVersion stands for engines of all versions.
const anyVersion = ""

// hasDecoder reports whether there is a decode engine of a version.
func (b *Book) hasDecoder(version string) bool {
	for _, e := range b.order {
		if e.Role == tlendpoint.Decode && !e.IsDraining && (version == anyVersion || version == e.Version) {
			return true
		}
	}
	return false
}

// roomWait returns how long it takes until memory and a slot for a request are free,
// after those for the queued ones; false while nothing was measured. Ahead of one that
// only engines of its version may run, there are only others like it.
func (b *Book) roomWait(r *Request) (time.Duration, bool) {
	tokens := r.tokens(&b.o)
	u := b.usage(tokens, r.Version)
	for _, w := range b.waiting {
		if r.Version == anyVersion || w.Version == r.Version {
			u.take(w.tokens(&b.o))
		}
	}
	u.take(tokens)
	turnover, known := b.rates.Booking.Duration()
	return time.Duration(u.missingShare() * float64(turnover)), known && (u.held > 0 || u.running > 0)
}

// returnTime returns when a refused caller may find room.
func (b *Book) returnTime(r *Request) time.Duration {
	w, known := b.roomWait(r)
	if !known {
		return defaultRoomWait
	}
	return w
}

// refusal refuses a request with a time to return that is bounded and drawn, so that
// callers don't return together.
func (b *Book) refusal(now time.Time, r *Request, why Reason, wait time.Duration) Decision {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	wait += time.Duration(b.o.RetryJitter * b.random.Float64() * float64(wait))
	return r.refused(now, why, wait)
}

// refused returns the decision that refuses a request until a time has passed.
func (r *Request) refused(now time.Time, why Reason, retryAfter time.Duration) Decision {
	return Decision{
		Request:    r.ID,
		Owner:      r.Owner,
		Refused:    why,
		RetryAfter: retryAfter,
		Waited:     now.Sub(r.arrived),
	}
}
