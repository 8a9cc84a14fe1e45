package tlplace

import (
	"cmp"
	"slices"
	"time"

	"trefoillanding/core/tlendpoint"
)

// Tick expires bookings, places queued requests that have room, refuses those that are
// too late, and returns the decisions.
func (b *Book) Tick(now time.Time) []Decision {
	b.expire(now)
	b.decayUntracked(now)
	if len(b.waiting) == 0 {
		return nil
	}
	return b.decideDue(now)
}

// decideDue places the queued requests that have room and refuses those that are too late.
func (b *Book) decideDue(now time.Time) []Decision {
	p := b.newPass(now, nil)
	b.readDelay, b.firstDelay = p.readDelay, b.firstEventDelay()
	b.updatePaces(now)
	if !b.canDecideAny(now, &p) {
		return b.refuseHopeless(now)
	}
	b.sortWaiting(now)
	b.reserveForFirst(now)
	return append(b.decideWaiting(now, &p), b.refuseHopeless(now)...)
}

// decideWaiting decides on the queued requests in their order, and keeps those that have to wait.
func (b *Book) decideWaiting(now time.Time, p *pass) []Decision {
	hasLate := b.lateness(now, b.waiting[len(b.waiting)-1]) == 1
	var decisions []Decision
	keep := b.waiting[:0]
	for _, r := range b.waiting {
		d, decided := b.decide(now, r, p)
		if !decided {
			p.queued += b.prefillTime(r.Prompt, 1)
			keep = append(keep, r)
			continue
		}
		if d.Refused == NotRefused {
			p.renew(now, b)
			if hasLate {
				b.noteLatePlacement(b.lateness(now, r) == 1)
			}
		}
		decisions = append(decisions, d)
	}
	b.waiting = keep
	return decisions
}

// canDecideAny reports whether any queued request may be placed or has to be refused
// now. With all engines full or all prefill engines busy neither is usually the case,
// and the home of a large fleet calls Tick at every report.
func (b *Book) canDecideAny(now time.Time, p *pass) bool {
	for _, r := range b.waiting {
		if !b.hasDecoder(r.Version) {
			at, isExpected := b.expectedDecoder(now, r.Version)
			if !isExpected || !b.mayAwait(r, at) || now.After(b.latestStart(r)) {
				return true
			}
			continue
		}
		if r.tokens(&b.o) <= p.room && p.mayFindReader(now, r) || now.After(b.latestStart(r)) {
			return true
		}
	}
	return false
}

// expire releases bookings whose owners have not reported their end within BookingTimeout.
func (b *Book) expire(now time.Time) {
	if !now.After(b.earliestExpiry) {
		return
	}
	b.earliestExpiry = time.Time{}
	for id, k := range b.bookings {
		if now.After(k.expiresAt) {
			b.endPrefill(now, k)
			b.release(now, id)
			continue
		}
		b.noteExpiry(k)
	}
}

// noteExpiry updates the earliest expiry with that of a booking.
func (b *Book) noteExpiry(k *Booking) {
	if b.earliestExpiry.IsZero() || k.expiresAt.Before(b.earliestExpiry) {
		b.earliestExpiry = k.expiresAt
	}
}

// sortWaiting puts requests that have begun first, then those that can still be on time,
// then by rank, by what their organisations have had of the room, and by due time.
func (b *Book) sortWaiting(now time.Time) {
	for _, r := range b.waiting {
		r.shareLevel = b.shares.Level(now, r.Organisation)
	}
	slices.SortStableFunc(b.waiting, func(x, y *Request) int {
		return cmp.Or(
			cmp.Compare(x.startedOrder(), y.startedOrder()),
			cmp.Compare(b.lateness(now, x), b.lateness(now, y)),
			cmp.Compare(x.Rank, y.Rank),
			cmp.Compare(x.shareLevel, y.shareLevel),
			x.Due.Compare(y.Due),
		)
	})
}

// lateness returns 0 for a request that can still be on time and 1 for one that can't.
func (b *Book) lateness(now time.Time, r *Request) int {
	if now.Add(b.readDelay + b.rates.PrefillTime(r.Prompt) + b.firstDelay).After(r.Due) {
		return 1
	}
	return 0
}

// reserveForFirst reserves the emptiest engine for the first queued request once it
// has waited for ReserveAfter, so that smaller ones don't pass it for ever.
func (b *Book) reserveForFirst(now time.Time) {
	for _, e := range b.order {
		e.reservedFor = ""
	}
	first := b.waiting[0]
	if now.Sub(first.arrived) < b.o.ReserveAfter {
		return
	}
	if e := b.decoderFor(now, first, b.usable(now, first, tlendpoint.Decode), nil); e != nil {
		e.reservedFor = first.ID
	}
}

// decide places or refuses a request, unless it has to wait.
func (b *Book) decide(now time.Time, r *Request, p *pass) (Decision, bool) {
	if d, impossible := b.refuseImpossible(now, r); impossible {
		return d, true
	}
	if now.After(b.latestStart(r)) {
		return b.refusalForRoom(now, r), true
	}
	if !b.hasDecoder(r.Version) || !p.mayPlace(now, b, r) {
		return Decision{}, false
	}
	c, ok := b.choose(now, r, p.of(now, b, r))
	if !ok {
		return Decision{}, false
	}
	return b.place(now, r, c), true
}

func (b *Book) place(now time.Time, r *Request, c choice) Decision {
	k := &Booking{
		Request: r.ID,
		Owner:   r.Owner,
		Decode:  c.decode.ID,
		Tokens:  r.tokens(&b.o),

		dataCentre: r.DataCentre,

		prompt:     r.Prompt,
		output:     r.Output,
		isMeasured: true,
		placedAt:   now,
		expiresAt:  now.Add(b.o.BookingTimeout),
	}
	b.measureRequest(r)
	b.shares.Add(now, r.Organisation, float64(k.Tokens), r.Weight)
	d := Decision{Request: r.ID, Owner: r.Owner, Decode: c.decode.ID, Tokens: k.Tokens, Waited: now.Sub(r.arrived)}
	c.decode.booked += k.Tokens
	c.decode.running++
	k.beside = c.decode.running
	d.Beside = k.beside
	switch {
	case c.reusesPrefill:
		d.ReusesPrefill = true
	case c.prefill == nil:
		k.IsDirect = true
		c.decode.directPrefills++
	default:
		k.Prefill = c.prefill.ID
		d.Prefill = c.prefill.ID
		c.prefill.prefills++
		c.prefill.freeAt = later(now, c.prefill.freeAt).Add(b.prefillTime(r.Prompt, c.prefill.slowness))
		k.prefillExpectedAt = c.prefill.freeAt
	}
	b.bookings[r.ID] = k
	b.noteExpiry(k)
	return d
}

// prefillTime returns the expected duration of a prefill at an engine with the given
// slowness; 0 while it is unknown.
func (b *Book) prefillTime(prompt int, slowness float64) time.Duration {
	return time.Duration(slowness * float64(b.rates.PrefillTime(prompt)))
}

// firstEventDelay returns the time from the end of a prefill until the caller has the
// first event: its tokens, and a margin for the transfer of the memory.
func (b *Book) firstEventDelay() time.Duration {
	return b.rates.AnswerTime(b.o.Stride) + b.o.TransferMargin
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
