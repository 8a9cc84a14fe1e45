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
	// defaultMemoryWait is the wait for memory where none can be estimated: with no decode engines, or no memory in use.
	defaultMemoryWait = time.Second
)

// refuseImpossible refuses a request that no engine could ever run.
func (b *Book) refuseImpossible(now time.Time, r Request) (Decision, bool) {
	if r.tokens(b.o) > b.o.bookable() {
		return b.refusal(now, r, TooLarge, maxRetryAfter), true
	}
	if !b.hasDecoder() {
		return b.refusal(now, r, NoEngines, defaultMemoryWait), true
	}
	return Decision{}, false
}

// refuseEarly refuses a request on arrival if memory is not expected to be free before its latest start.
func (b *Book) refuseEarly(now time.Time, r Request) (Decision, bool) {
	if d, impossible := b.refuseImpossible(now, r); impossible {
		return d, true
	}
	if len(b.waiting) == 0 {
		return Decision{}, false
	}
	w := b.memoryWait(r.tokens(b.o))
	if b.latestStart(r).Before(now.Add(w)) {
		return b.refusal(now, r, WaitTooLong, w), true
	}
	return Decision{}, false
}

// latestStart returns the latest time to start a request so that its first event
// comes before the caller gives up, and its last before the deadline.
func (b *Book) latestStart(r Request) time.Time {
	read := b.prefillTime(r.Prompt, latestStartSlowness)
	first := r.GiveUp.Add(-read - b.o.StartMargin)
	if r.Deadline.IsZero() || r.HasBegun {
		return first
	}
	run := time.Duration(latestStartOutputShare * float64(r.Output) * float64(b.tokenTime))
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

func (b *Book) hasDecoder() bool {
	for _, e := range b.order {
		if e.Role == tlendpoint.Decode && !e.IsDraining {
			return true
		}
	}
	return false
}

// memoryWait returns how long it takes until memory for a request is free, after that for the queued ones.
func (b *Book) memoryWait(tokens int) time.Duration {
	booked := 0
	for _, e := range b.order {
		booked += e.heldTokens()
		if e.Role == tlendpoint.Decode && !e.IsDraining {
			tokens -= max(e.freeTokens(b.o), 0)
		}
	}
	if booked == 0 {
		return defaultMemoryWait
	}
	for _, w := range b.waiting {
		tokens += w.tokens(b.o)
	}
	if tokens <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / float64(booked) * float64(b.bookingTime))
}

func (b *Book) refusal(now time.Time, r Request, why Reason, wait time.Duration) Decision {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	wait += time.Duration(b.o.RetryJitter * b.random.Float64() * float64(wait))
	return Decision{
		Request:    r.ID,
		Owner:      r.Owner,
		Refused:    why,
		RetryAfter: wait,
		Waited:     now.Sub(r.arrived),
	}
}
