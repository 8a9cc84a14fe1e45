package tlplace

import (
	"time"

	"trefoillanding/core/tlendpoint"
)

const (
	// leastReturn is the shortest time after which a refused caller is asked to come back.
	leastReturn = 300 * time.Millisecond
	// mostReturn is the longest: callers have some seconds left in all.
	mostReturn = 4 * time.Second
	// unknownWait is the wait for memory before any has been freed.
	unknownWait = time.Second
)

// refuseHopeless refuses a request that no engine could ever run.
func (b *Book) refuseHopeless(now time.Time, r Request) (Decision, bool) {
	if r.tokens(b.o) > b.o.bookable() {
		return b.refusal(now, r, TooLarge, mostReturn), true
	}
	if !b.hasDecoder() {
		return b.refusal(now, r, NoEngines, unknownWait), true
	}
	return Decision{}, false
}

// refuseEarly refuses a request that is known to find no place.
func (b *Book) refuseEarly(now time.Time, r Request) (Decision, bool) {
	if d, hopeless := b.refuseHopeless(now, r); hopeless {
		return d, true
	}
	if len(b.waiting) == 0 {
		return Decision{}, false
	}
	w := b.wait(r.tokens(b.o))
	if b.startBy(r).Before(now.Add(w)) {
		return b.refusal(now, r, WaitTooLong, w), true
	}
	return Decision{}, false
}

// startBy returns when a request has to get its place at the latest to have its
// first event before the caller leaves, and its last before the caller's deadline.
func (b *Book) startBy(r Request) time.Time {
	read := b.readTime(r.Prompt, slowRead)
	first := r.GiveUp.Add(-read - b.o.LateMargin)
	if r.Deadline.IsZero() || r.HasBegun {
		return first
	}
	run := time.Duration(surelyRuns * float64(r.Output) * float64(b.tokenTime))
	last := r.Deadline.Add(-read - run)
	if last.Before(first) {
		return last
	}
	return first
}

const (
	// slowRead is the slowness of a prefill that is reckoned with at the latest start.
	slowRead = 2
	// surelyRuns is the part of the expected time of an answer that is reckoned
	// with: a guess of its length is often far off, and a request must not be
	// refused that could still be served.
	surelyRuns = 0.6
)

func (b *Book) hasDecoder() bool {
	for _, e := range b.order {
		if e.Role == tlendpoint.Decode && !e.IsDraining {
			return true
		}
	}
	return false
}

// wait returns how long the memory for a request takes to be freed, after that of those that wait.
func (b *Book) wait(tokens int) time.Duration {
	booked := 0
	for _, e := range b.order {
		booked += e.held()
		if e.Role == tlendpoint.Decode && !e.IsDraining {
			tokens -= max(e.room(b.o), 0)
		}
	}
	if booked == 0 {
		return unknownWait
	}
	for _, w := range b.waiting {
		tokens += w.tokens(b.o)
	}
	if tokens <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / float64(booked) * float64(b.life))
}

func (b *Book) refusal(now time.Time, r Request, why Reason, wait time.Duration) Decision {
	wait = min(max(wait, leastReturn), mostReturn)
	wait += time.Duration(b.o.Spread * b.random.Float64() * float64(wait))
	return Decision{
		Request:    r.ID,
		Owner:      r.Owner,
		Refused:    why,
		RetryAfter: wait,
		Waited:     now.Sub(r.arrived),
	}
}
