package tlslot

import (
	"cmp"
	"slices"
	"time"
)

// Tick gives free slots to queued requests, refuses those that can't be answered in time
// any more, and returns the decisions.
func (b *Book) Tick(now time.Time) []Decision {
	b.expire(now)
	if len(b.waiting) == 0 {
		return nil
	}
	b.drop(now)
	decided := b.assign(now)
	return append(decided, b.refuseHopeless(now)...)
}

// drop takes requests out of the queue whose owners ask for them no more.
func (b *Book) drop(now time.Time) {
	b.waiting = slices.DeleteFunc(b.waiting, func(r *Request) bool { return now.Sub(r.asked) >= askGrace })
}

// assign gives the free slots to queued requests in their order.
func (b *Book) assign(now time.Time) []Decision {
	if len(b.waiting) == 0 || !b.hasRoom(now) {
		return nil
	}
	b.sort(now)
	need := b.safeTime()
	hasLate := b.waiting[len(b.waiting)-1].lateness(now, need) == 1
	if !hasLate {
		b.lateShare = 1
	}
	var decided []Decision
	keep := b.waiting[:0]
	for _, r := range b.waiting {
		e := b.pick(now, r)
		if e == nil || !b.mayStart(now, r, 0) {
			keep = append(keep, r)
			continue
		}
		if hasLate {
			b.noteGrant(r.lateness(now, need) == 1)
		}
		decided = append(decided, b.grant(now, r, e))
	}
	b.waiting = keep
	return decided
}

func (b *Book) grant(now time.Time, r *Request, e *endpoint) Decision {
	k := &hold{
		endpoint:  e.ID,
		owner:     r.Owner,
		waited:    now.Sub(r.arrived),
		grantedAt: now,
		expiresAt: r.GiveUp.Add(expiryMargin),
	}
	b.held[r.ID] = k
	e.held++
	b.shares.Add(now, r.Organisation, e.answerTime().Seconds(), r.Weight)
	return Decision{Request: r.ID, Endpoint: e.ID, Waited: k.waited}
}

// sort puts requests that are expected to be on time first, then orders by rank, by what
// their organisations have had, and by due time.
func (b *Book) sort(now time.Time) {
	for _, r := range b.waiting {
		r.level = b.shares.Level(now, r.Organisation)
	}
	need := b.safeTime()
	slices.SortStableFunc(b.waiting, func(x, y *Request) int { return compare(now, need, x, y) })
}

func compare(now time.Time, need time.Duration, x, y *Request) int {
	return cmp.Or(
		cmp.Compare(x.lateness(now, need), y.lateness(now, need)),
		cmp.Compare(x.Rank, y.Rank),
		cmp.Compare(x.level, y.level),
		x.due().Compare(y.due()),
	)
}

// due returns when the answer has to be complete.
func (r *Request) due() time.Time {
	if r.Due.IsZero() {
		return r.GiveUp
	}
	return r.Due
}

// lateness returns 0 for a request that can be on time if it needs that long from now, else 1.
func (r *Request) lateness(now time.Time, need time.Duration) int {
	if now.Add(need).After(r.due()) {
		return 1
	}
	return 0
}

// slots returns how many requests an endpoint takes well at once; 0 if that is unknown.
func (b *Book) slots(e *endpoint) int {
	if n, ok := b.capacity(e.ID); ok {
		return max(n, 1)
	}
	return e.Slots
}

func (b *Book) isOpen(now time.Time, e *endpoint) bool {
	return !now.Before(e.closedUntil) && e.held < e.room(b.slots(e))
}

func (b *Book) hasRoom(now time.Time) bool {
	return slices.ContainsFunc(b.order, func(e *endpoint) bool { return b.isOpen(now, e) })
}

// pick returns the endpoint that is expected to answer the request first, of those that
// have room; nil if the request has to wait.
func (b *Book) pick(now time.Time, r *Request) *endpoint {
	suits := func(e *endpoint) bool { return !r.avoids(e.ID) && !e.isDoubted(now, r.MayProbe) }
	hasSuiting := slices.ContainsFunc(b.order, suits)
	var best *endpoint
	bestCost := 0.0
	for _, e := range b.order {
		if !b.isOpen(now, e) || hasSuiting && !suits(e) {
			continue
		}
		if c := e.cost(b.slots(e)); best == nil || c < bestCost {
			best, bestCost = e, c
		}
	}
	return best
}
