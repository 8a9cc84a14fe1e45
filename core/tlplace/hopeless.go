package tlplace

import "time"

// hopelessInterval is the time between checks for requests without a chance: each
// looks at the whole queue.
const hopelessInterval = 50 * time.Millisecond

// lateShareWeight is the weight of one placement in the share of room that late
// requests get.
const lateShareWeight = 0.1

// minRunning is the number of running requests from which the time until room is free
// can be forecast from their average: one of a few may end at any moment.
const minRunning = 10

// refuseHopeless removes and refuses the queued requests that can't be on time any
// more and for which no room is expected before their latest start.
//
// It answers an overload in which requests that can still be on time arrive nearly
// as fast as room becomes free, or faster: they go first, so that one that is late
// would wait in vain until its caller gives up.
func (b *Book) refuseHopeless(now time.Time) []Decision {
	turnover, known := b.rates.Booking.Duration()
	if !known || now.Sub(b.hopelessChecked) < hopelessInterval {
		return nil
	}
	b.hopelessChecked = now
	u := b.usage(b.smallestQueued(), anyVersion)
	if u.running < minRunning {
		return nil
	}
	spare := float64(b.lateShare)
	var refused []Decision
	keep := b.waiting[:0]
	for _, r := range b.waiting {
		u.take(r.tokens(&b.o))
		wait := time.Duration(u.missingShare() * float64(turnover))
		if r.HasBegun || b.lateness(now, r) == 0 || b.startsInTime(now, r, wait, spare) {
			keep = append(keep, r)
			continue
		}
		u.giveBack(r.tokens(&b.o))
		refused = append(refused, b.refusal(now, r, WaitTooLong, returnAfter(wait, spare)))
	}
	b.waiting = keep
	if len(keep) == 0 {
		b.lateShare = 1
	}
	return refused
}

// noteLatePlacement takes in whether a request that was placed while late ones were
// queued was one of them.
func (b *Book) noteLatePlacement(isLate bool) {
	if isLate {
		b.lateShare.AddHit(lateShareWeight)
		return
	}
	b.lateShare.AddMiss(lateShareWeight)
}

// startsInTime reports whether a late request may start in time, given how long the
// room ahead of it takes and the share of that room which late requests get.
func (b *Book) startsInTime(now time.Time, r *Request, wait time.Duration, spare float64) bool {
	if wait <= 0 {
		return true
	}
	return spare > 0 && !b.latestStart(r).Before(now.Add(time.Duration(float64(wait)/spare)))
}

// returnAfter returns when a late request may find room.
func returnAfter(wait time.Duration, spare float64) time.Duration {
	if spare <= 0 || float64(wait)/spare >= float64(maxRetryAfter) {
		return maxRetryAfter
	}
	return time.Duration(float64(wait) / spare)
}

// smallestQueued returns the memory of the smallest queued request, in tokens.
func (b *Book) smallestQueued() int {
	smallest := 0
	for _, r := range b.waiting {
		if n := r.tokens(&b.o); smallest == 0 || n < smallest {
			smallest = n
		}
	}
	return smallest
}
