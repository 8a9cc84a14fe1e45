package tlplace

import (
	"cmp"
	"slices"
	"time"

	"trefoillanding/core/tlendpoint"
)

// Tick places what has room by now, refuses what has none in time, and returns the decisions.
func (b *Book) Tick(now time.Time) []Decision {
	b.expire(now)
	b.fade(now)
	if len(b.waiting) == 0 {
		return nil
	}
	room := b.mostRoom(now)
	if !b.mayDecide(now, room) {
		return nil
	}
	b.sort(now)
	b.keepRoom(now)
	var decisions []Decision
	keep := b.waiting[:0]
	for _, r := range b.waiting {
		d, decided := b.decide(now, r, room)
		if !decided {
			keep = append(keep, r)
			continue
		}
		decisions = append(decisions, d)
		room = b.mostRoom(now)
	}
	b.waiting = keep
	return decisions
}

// mostRoom returns the most tokens for which any decode engine has room.
func (b *Book) mostRoom(now time.Time) int {
	most := 0
	for _, e := range b.order {
		if e.Role == tlendpoint.Decode && e.isUsable(now) && e.running < b.o.Slots {
			most = max(most, e.room(b.o))
		}
	}
	return most
}

// mayDecide says whether any request that waits may be placed or has to be
// refused by now: most looks at a full book find neither, and a large fleet's
// home looks at each report.
func (b *Book) mayDecide(now time.Time, room int) bool {
	if !b.hasDecoder() {
		return true
	}
	for _, r := range b.waiting {
		if r.tokens(b.o) <= room || now.After(b.startBy(r)) {
			return true
		}
	}
	return false
}

// expire ends bookings that have stood without a word for long.
func (b *Book) expire(now time.Time) {
	if !now.After(b.endsFrom) {
		return
	}
	b.endsFrom = time.Time{}
	for id, k := range b.bookings {
		if now.After(k.until) {
			b.leavePrefill(now, k)
			b.release(now, id)
			continue
		}
		b.noteEnd(k)
	}
}

// noteEnd keeps the earliest time at which a booking ends without a word.
func (b *Book) noteEnd(k *Booking) {
	if b.endsFrom.IsZero() || k.until.Before(b.endsFrom) {
		b.endsFrom = k.until
	}
}

// sort puts first what has begun, then what can still be on time, by rank and then by what is due first.
func (b *Book) sort(now time.Time) {
	slices.SortStableFunc(b.waiting, func(x, y Request) int {
		return cmp.Or(
			cmp.Compare(x.order(), y.order()),
			cmp.Compare(b.lateness(now, x), b.lateness(now, y)),
			cmp.Compare(x.Rank, y.Rank),
			x.Due.Compare(y.Due),
		)
	})
}

// lateness is 0 for a request that can still be on time and 1 for one that can't.
func (b *Book) lateness(now time.Time, r Request) int {
	if now.Add(b.readTime(r.Prompt, 1) + b.o.FirstEvent).After(r.Due) {
		return 1
	}
	return 0
}

// keepRoom keeps the emptiest engine for the request whose turn it is, once it
// has been passed by smaller ones for long.
func (b *Book) keepRoom(now time.Time) {
	for _, e := range b.order {
		e.keptFor = ""
	}
	first := b.waiting[0]
	if now.Sub(first.arrived) < b.o.KeepAfter {
		return
	}
	if e := emptiest(b.usable(now, first, tlendpoint.Decode), anyDataCentre); e != nil {
		e.keptFor = first.ID
	}
}

// decide places or refuses a request; room is the most that any engine has.
func (b *Book) decide(now time.Time, r Request, room int) (Decision, bool) {
	if d, hopeless := b.refuseHopeless(now, r); hopeless {
		return d, true
	}
	if now.After(b.startBy(r)) {
		return b.refusal(now, r, WaitTooLong, b.wait(r.tokens(b.o))), true
	}
	if r.tokens(b.o) > room {
		return Decision{}, false
	}
	c, ok := b.choose(now, r)
	if !ok {
		return Decision{}, false
	}
	return b.place(now, r, c), true
}

func (b *Book) place(now time.Time, r Request, c choice) Decision {
	k := &Booking{
		Request: r.ID,
		Owner:   r.Owner,
		Decode:  c.decode.ID,
		Tokens:  r.tokens(b.o),

		dataCentre: r.DataCentre,

		prompt: r.Prompt,
		output: r.Output,
		sent:   now,
		until:  now.Add(b.o.BookedFor),
	}
	d := Decision{Request: r.ID, Owner: r.Owner, Decode: c.decode.ID, Tokens: k.Tokens, Waited: now.Sub(r.arrived)}
	c.decode.booked += k.Tokens
	c.decode.running++
	switch {
	case c.usesRead:
		d.ReusesPrefill = true
	case c.prefill == nil:
		k.IsDirect = true
		c.decode.direct++
	default:
		k.Prefill = c.prefill.ID
		d.Prefill = c.prefill.ID
		c.prefill.reading++
		c.prefill.freeAt = later(now, c.prefill.freeAt).Add(b.readTime(r.Prompt, c.prefill.slowness))
		k.readBy = c.prefill.freeAt
	}
	b.bookings[r.ID] = k
	b.noteEnd(k)
	return d
}

// readTime returns the expected time of a prefill at an engine of a slowness.
func (b *Book) readTime(prompt int, slowness float64) time.Duration {
	s := float64(prompt) / b.o.ReadRate * slowness
	return b.o.ReadSetup + time.Duration(s*float64(time.Second))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
