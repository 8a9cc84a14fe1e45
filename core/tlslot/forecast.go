package tlslot

import "time"

const (
	// maxRetryAfter bounds the time to return of a refused request: callers give up after
	// some seconds in all.
	maxRetryAfter = 4 * time.Second
	// returnShare is the part of the turnover that is promised to requests that return; the
	// rest is for new ones.
	returnShare = 0.5
)

// turnover returns how many requests the endpoints end in a second while all slots are
// used; 0 if that is unknown.
func (b *Book) turnover(now time.Time) float64 {
	rate := 0.0
	for _, e := range b.order {
		slots := b.slots(e)
		switch {
		case slots <= 0:
			return 0
		case e.isDoubted(now, true):
		case e.took.isKnown:
			rate += float64(slots) / e.workTime(slots).Seconds()
		default:
			rate += float64(slots) / b.answerTime().Seconds()
		}
	}
	if !b.isMeasured() {
		return 0
	}
	return rate
}

// workTime returns the time that a request is run for: of the answer time, a part is spent
// waiting behind those that were sent ahead of a free slot.
func (e *endpoint) workTime(slots int) time.Duration {
	return e.answerTime() * time.Duration(slots) / time.Duration(max(e.room(slots), 1))
}

// isMeasured reports whether the answer time of any listed endpoint is known.
func (b *Book) isMeasured() bool {
	for _, e := range b.order {
		if e.took.isKnown {
			return true
		}
	}
	return false
}

// answerTime returns the shortest usual answer time of the endpoints; 0 if none is known.
func (b *Book) answerTime() time.Duration {
	shortest := time.Duration(0)
	for _, e := range b.order {
		if e.took.isKnown && (shortest == 0 || e.answerTime() < shortest) {
			shortest = e.answerTime()
		}
	}
	return shortest
}

// safeTime returns the time within which a request that starts now is answered, as a rule:
// the mean of the endpoints, what their answers deviate from it, and the messages.
func (b *Book) safeTime() time.Duration {
	sum, n := time.Duration(0), 0
	for _, e := range b.order {
		if e.took.isKnown {
			sum += e.took.mean + e.took.deviation + e.messages.mean
			n++
		}
	}
	return sum / time.Duration(max(n, 1))
}

// forecast returns how long a request that arrives now is expected to be queued, by the
// requests that go before it; 0 if that is unknown.
func (b *Book) forecast(now time.Time, r *Request) time.Duration {
	if len(b.waiting) == 0 {
		return 0
	}
	rate := b.turnover(now)
	if rate == 0 {
		return 0
	}
	need, ahead := b.safeTime(), 0
	for _, w := range b.waiting {
		if compare(now, need, w, r) <= 0 {
			ahead++
		}
	}
	return seconds(float64(ahead) / rate)
}

// mayStart reports whether a request that is queued for a time from now can be answered in time.
func (b *Book) mayStart(now time.Time, r *Request, queued time.Duration) bool {
	return !now.Add(queued + b.answerTime()).After(r.GiveUp)
}

// lateShareWeight is the weight of one slot in the share that late requests get.
const lateShareWeight = 0.1

// noteGrant takes in whether a slot that was given away while late requests were queued
// went to one of them.
func (b *Book) noteGrant(isLate bool) {
	if isLate {
		b.lateShare.AddHit(lateShareWeight)
		return
	}
	b.lateShare.AddMiss(lateShareWeight)
}

// lateWait returns how long the n-th of the late requests waits,
// by the share of the slots that late ones have lately got.
func (b *Book) lateWait(n int, rate float64) time.Duration {
	if rate == 0 {
		return 0
	}
	return seconds(float64(n) / (rate * max(float64(b.lateShare), 1e-6)))
}

// isHopeful reports whether a request that arrives now is expected to be answered in time:
// after those before it, or, if it will be late then, after the other late ones.
func (b *Book) isHopeful(now time.Time, r *Request) bool {
	queued := b.forecast(now, r)
	if now.Add(queued + b.safeTime()).After(r.due()) {
		queued += b.lateWait(b.late(now), b.turnover(now))
	}
	return b.mayStart(now, r, queued)
}

// late returns the number of queued requests that can't be on time any more.
func (b *Book) late(now time.Time) int {
	n, need := 0, b.safeTime()
	for _, w := range b.waiting {
		n += w.lateness(now, need)
	}
	return n
}

// refuseHopeless refuses the queued requests that won't be answered in time: late ones as
// soon as the slots that late ones get don't suffice.
//
// It answers an overload in which requests that can still be on time take all slots: late
// ones would be held until their time is over, and then be refused all the same.
func (b *Book) refuseHopeless(now time.Time) []Decision {
	var refused []Decision
	need, rate, ahead := b.safeTime(), b.turnover(now), 0
	keep := b.waiting[:0]
	for _, r := range b.waiting {
		queued := time.Duration(0)
		if r.lateness(now, need) == 1 {
			ahead++
			queued = b.lateWait(ahead, rate)
		}
		if !b.mayStart(now, r, queued) {
			ahead = max(ahead-1, 0)
			refused = append(refused, b.refuse(now, r))
			continue
		}
		keep = append(keep, r)
	}
	b.waiting = keep
	return refused
}

// refuse refuses a request. The times to return are spread, so that callers who were
// refused together come back one after the other.
func (b *Book) refuse(now time.Time, r *Request) Decision {
	d := Decision{Request: r.ID, Waited: now.Sub(r.arrived)}
	rate := b.turnover(now)
	if rate == 0 {
		return d
	}
	returns := returnShare * rate
	b.promised = max(b.promised-returns*now.Sub(b.promisedAt).Seconds(), 0)
	b.promisedAt = now
	queued := float64(len(b.waiting)+1) / rate
	if queued+b.promised/returns >= maxRetryAfter.Seconds() {
		// Later times would be of no use to callers: the spread begins again.
		b.promised = 0
	}
	d.RetryAfter = min(seconds(queued+b.promised/returns), maxRetryAfter)
	b.promised++
	return d
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}
