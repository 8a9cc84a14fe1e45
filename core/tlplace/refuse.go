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
	if !b.hasDecoder(r.Version) {
		return b.refuseWithoutDecoder(now, r)
	}
	return Decision{}, false
}

// refuseWithoutDecoder refuses a request for which there is no decode engine, unless one is
// expected in time.
func (b *Book) refuseWithoutDecoder(now time.Time, r *Request) (Decision, bool) {
	at, isExpected := b.expectedDecoder(now, r.Version)
	switch {
	case isExpected && b.mayAwait(r, at):
		return Decision{}, false
	case isExpected && r.Version != anyVersion:
		return b.refusalUntil(now, r, NoDecoder, at), true
	case isExpected:
		return b.refusalUntil(now, r, NoEngines, at), true
	case !b.hasDecoder(anyVersion):
		return b.refusal(now, r, NoEngines, defaultRoomWait), true
	}
	return b.refusal(now, r, NoVersion, defaultRoomWait), true
}

// mayAwait reports whether a request waits for a decode engine that is expected at a time.
//
// It answers the loss of a version's decode engines under streams, whose callers have few
// tries, often one. A caller who asks is told when to return if it would leave before. One
// that is reading can't be told, and each try bridges the time for which it waits for an
// event: so its answer is held that long, though the engine comes later.
func (b *Book) mayAwait(r *Request, at time.Time) bool {
	return r.Continues || !at.After(b.latestStart(r))
}

// refuseEarly refuses a request on arrival if memory is not expected to be free before its latest start.
func (b *Book) refuseEarly(now time.Time, r *Request) (Decision, bool) {
	if d, impossible := b.refuseImpossible(now, r); impossible {
		return d, true
	}
	if len(b.waiting) == 0 || !b.hasDecoder(r.Version) {
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

// hasVersion reports whether the engine has a version.
func (e *engine) hasVersion(version string) bool {
	return version == anyVersion || version == e.Version
}

// hasDecoder reports whether there is a decode engine of a version.
func (b *Book) hasDecoder(version string) bool {
	for _, e := range b.order {
		if e.Role == tlendpoint.Decode && !e.IsDraining && e.hasVersion(version) {
			return true
		}
	}
	return false
}

// hasWorkingDecoder reports whether a decode engine of a version has not failed since its last success.
func (b *Book) hasWorkingDecoder(version string) bool {
	for _, e := range b.order {
		if e.Role == tlendpoint.Decode && !e.IsDraining && e.failures == 0 && e.hasVersion(version) {
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

// refusalForRoom refuses a request that no room was found for in time.
func (b *Book) refusalForRoom(now time.Time, r *Request) Decision {
	if at, isChanging := b.changedDecoder(now, r.Version); isChanging && !b.hasWorkingDecoder(r.Version) {
		return b.refusalUntil(now, r, WaitTooLong, at)
	}
	return b.refusal(now, r, WaitTooLong, b.returnTime(r))
}

// returnTime returns when a refused caller may find room.
func (b *Book) returnTime(r *Request) time.Duration {
	w, known := b.roomWait(r)
	if !known {
		return defaultRoomWait
	}
	return w
}

// returnSpread is the time over which callers return that wait for one moment.
const returnSpread = 500 * time.Millisecond

// refusalUntil refuses a request until a moment that is known, however late it is.
func (b *Book) refusalUntil(now time.Time, r *Request, why Reason, at time.Time) Decision {
	wait := max(at.Sub(now), minRetryAfter)
	return r.refused(now, why, wait+time.Duration(b.random.Float64()*float64(returnSpread)))
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
