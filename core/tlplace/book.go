package tlplace

import (
	"math/rand/v2"
	"time"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlfair"
	"trefoillanding/core/tlrate"
	"trefoillanding/core/tlshare"
)

// Book holds the engines, bookings and queued requests of one service.
type Book struct {
	o        Options
	engines  map[string]*engine
	order    []*engine
	bookings map[string]*Booking
	waiting  []*Request
	stalls   stallTracker
	// shares holds what each organisation has had of the room, in tokens.
	shares *tlfair.Shares
	// rates holds what the requests served so far have shown of the engines.
	rates tlrate.Rates
	// paces holds how the engines differ from each other in speed.
	paces       paces
	lastRequest time.Time
	// needs holds the versions that requests need which no other may run.
	needs needs
	// hasPredecessor is set once another home of the service is known to have decided.
	hasPredecessor bool
	// lateShare is the share of the room given away while late requests were queued
	// that went to late ones; 1 where none were queued.
	lateShare tlshare.Share
	// hopelessChecked is when the queue was last checked for requests without a chance.
	hopelessChecked time.Time
	// readDelay is the time until the next prompt can be read, and firstDelay that from
	// there to its first event, as of the last Tick.
	readDelay, firstDelay time.Duration
	// earliestExpiry is the earliest time at which a booking may expire; the booking
	// that it was noted for may have ended since.
	earliestExpiry time.Time
	random         *rand.Rand
}

// New returns an empty book.
func New(o Options, r *rand.Rand) *Book {
	return &Book{
		o:         o,
		engines:   map[string]*engine{},
		bookings:  map[string]*Booking{},
		lateShare: 1,
		shares:    tlfair.New(),
		needs:     needs{},
		random:    r,
	}
}

// SetEngines replaces the list of engines; the bookings of engines that are gone or have restarted are dropped.
func (b *Book) SetEngines(now time.Time, list []tlendpoint.Endpoint) {
	b.order = b.order[:0]
	listed := make(map[string]*engine, len(list))
	for _, l := range list {
		e, ok := b.engines[l.ID]
		if !ok || !e.IsSameIncarnation(l) {
			b.dropBookingsAt(now, l.ID)
			e = &engine{slowness: 1, decodeSlowness: 1, notedSlowness: 1}
		}
		if e.Role != l.Role {
			e.roleChangeUntil = time.Time{}
		}
		e.Endpoint = l
		listed[l.ID] = e
		b.order = append(b.order, e)
	}
	for id := range b.engines {
		if listed[id] == nil {
			b.dropBookingsAt(now, id)
		}
	}
	b.engines = listed
}

// dropBookingsAt drops the bookings at a decode engine that is gone or has restarted.
func (b *Book) dropBookingsAt(now time.Time, id string) {
	for request, k := range b.bookings {
		if k.Decode == id {
			b.endPrefill(now, k)
			b.release(now, request)
		}
	}
}

// Submit queues a request and returns the decisions due; it replaces an earlier request with the same ID.
func (b *Book) Submit(now time.Time, r Request) []Decision {
	b.Withdraw(now, r.ID)
	b.lastRequest = now
	b.needs.add(&r)
	r.arrived = now
	if d, refused := b.refuseEarly(now, &r); refused {
		return []Decision{d}
	}
	b.waiting = append(b.waiting, &r)
	return b.Tick(now)
}

// Enqueue queues a request without deciding on it until the next Tick.
func (b *Book) Enqueue(now time.Time, r Request) {
	b.Withdraw(now, r.ID)
	b.needs.add(&r)
	r.arrived = now
	b.waiting = append(b.waiting, &r)
}

// Withdraw removes a request, queued or booked, whose caller is gone.
func (b *Book) Withdraw(now time.Time, id string) {
	for i, r := range b.waiting {
		if r.ID == id {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			break
		}
	}
	b.Ended(now, id)
}

// Prefilled records that a prefill engine has read a request's prompt.
func (b *Book) Prefilled(now time.Time, id, engine string) {
	k := b.bookings[id]
	if k == nil || k.Prefill != "" && k.Prefill != engine {
		return
	}
	if k.Prefill == "" {
		// The booking of another home, which this book follows; it doesn't know the engine's queue.
		b.measurePrefill(now.Sub(k.placedAt), k)
		return
	}
	if e := b.engines[k.Prefill]; e != nil {
		e.recordSuccess()
		e.freeAt = e.freeAt.Add(now.Sub(k.prefillExpectedAt))
		if b.rates.Prefill.IsKnown() {
			e.updateSlowness(now.Sub(k.placedAt), k.prefillExpectedAt.Sub(k.placedAt))
		}
		took := now.Sub(later(k.placedAt, e.lastPrefilled))
		b.measurePrefill(took, k)
		b.measureReading(now, e, took, k)
		e.lastPrefilled = now
	}
	b.endPrefill(now, k)
}

// measurePrefill takes in the time in which a prefill engine read a prompt, without
// the time that it waited behind others.
func (b *Book) measurePrefill(took time.Duration, k *Booking) {
	if !k.isMeasured || k.prompt == 0 {
		return
	}
	b.rates.Prefill.Add(took, k.prompt)
}

// PrefillFailed records that an engine failed to read a request's prompt; the booking stays.
func (b *Book) PrefillFailed(now time.Time, id, engine string, f Failure) {
	if e := b.engines[engine]; e != nil {
		e.recordFailure(now, f, b.o)
	}
	if k := b.bookings[id]; k != nil && k.Prefill == engine {
		b.endPrefill(now, k)
	}
}

// endPrefill removes a booking's prompt from its prefill engine.
func (b *Book) endPrefill(now time.Time, k *Booking) {
	e := b.engines[k.Prefill]
	k.Prefill = ""
	if e == nil {
		return
	}
	e.prefills = max(e.prefills-1, 0)
	if e.prefills == 0 {
		e.freeAt = now
	}
}

// Ended releases a request's booking.
func (b *Book) Ended(now time.Time, id string) {
	k := b.bookings[id]
	if k == nil {
		return
	}
	if k.isMeasured {
		b.rates.Booking.Add(now.Sub(k.placedAt).Seconds())
	}
	b.endPrefill(now, k)
	b.release(now, id)
}

// Served records that an engine completed a request's answer, and releases its booking.
func (b *Book) Served(now time.Time, id string) {
	k := b.bookings[id]
	if k == nil {
		return
	}
	if e := b.engines[k.Decode]; e != nil {
		e.recordSuccess()
		if !k.hasStalled && k.hasDataCentre() {
			b.stalls.forRoute(e.DataCentre, k.dataCentre).recordNoStall()
		}
	}
	if k.isMeasured && k.output > 0 {
		b.rates.Answer.Add(now.Sub(k.placedAt), k.output)
	}
	b.Ended(now, id)
}

// Failed records that an engine failed a request, and releases its booking there.
func (b *Book) Failed(now time.Time, id, engine string, f Failure) {
	if e := b.engines[engine]; e != nil {
		e.recordFailure(now, f, b.o)
	}
	b.endedAt(now, id, engine)
}

// endedAt releases a request's booking at an engine. A report of an attempt that
// failed may come after the next attempt has got its booking, which stays.
func (b *Book) endedAt(now time.Time, id, engine string) {
	if k := b.bookings[id]; k != nil && k.Decode == engine {
		b.Ended(now, id)
	}
}

// Stalled records that a request's answer paused between the engine and the owner for
// longer than the owner's stall limit; it counts once per booking.
func (b *Book) Stalled(now time.Time, id string) {
	k := b.bookings[id]
	if k == nil || k.hasStalled || !k.hasDataCentre() {
		return
	}
	k.hasStalled = true
	if e := b.engines[k.Decode]; e != nil {
		b.stalls.forRoute(e.DataCentre, k.dataCentre).recordStall(now)
	}
}

// EngineSilent records a lost answer of an engine that has sent nothing within the
// owner's limit; the booking stays, since the answer may still come.
func (b *Book) EngineSilent(engine string) {
	if e := b.engines[engine]; e != nil {
		e.recordLostAnswer()
	}
}

// EngineFull records that an engine had no room for a booked request, and releases its
// booking there; that does not count as a failure of the engine.
func (b *Book) EngineFull(now time.Time, id, engine string) {
	if e := b.engines[engine]; e != nil {
		e.backoffUntil = later(e.backoffUntil, now.Add(b.o.FullBackoff))
		e.fullAt = now
	}
	b.endedAt(now, id, engine)
}

// DirectPrefillDone records that a decode engine has read a prompt itself.
func (b *Book) DirectPrefillDone(now time.Time, id string) {
	k := b.bookings[id]
	if k == nil || !k.IsDirect {
		return
	}
	k.IsDirect = false
	if e := b.engines[k.Decode]; e != nil {
		e.directPrefills = max(e.directPrefills-1, 0)
		e.directFrom = now.Add(b.rates.AnswerTime(b.o.Stride))
	}
}

func (b *Book) release(now time.Time, id string) {
	b.DirectPrefillDone(now, id)
	k := b.bookings[id]
	delete(b.bookings, id)
	if e := b.engines[k.Decode]; e != nil {
		e.booked -= k.Tokens
		e.running--
		e.released = append(e.released, releasedBooking{now, k.Tokens})
	}
}

// Follow adds the booking that another home has just made for a request, so that its
// progress is measured here too.
func (b *Book) Follow(now time.Time, r Request, d Decision) {
	b.hasPredecessor = true
	b.measureRequest(&r)
	b.Adopt(now, Booking{
		Request:    r.ID,
		Owner:      r.Owner,
		Decode:     d.Decode,
		Tokens:     d.Tokens,
		prompt:     r.Prompt,
		output:     r.Output,
		beside:     d.Beside,
		isFollowed: true,
		isMeasured: true,
	})
}

// Rates returns what this book has measured of the engines.
func (b *Book) Rates() tlrate.Rates {
	return b.rates
}

// MergeRates takes in what another instance has measured.
func (b *Book) MergeRates(r tlrate.Rates) {
	b.hasPredecessor = b.hasPredecessor || r.Prompt.Samples > 0
	b.rates.Merge(r)
}

// measureRequest takes in the size of a request, as it was asked for: those that have
// ended would show the shortest first.
func (b *Book) measureRequest(r *Request) {
	b.rates.Prompt.Add(float64(r.Prompt))
	share := max(float64(r.tokens(&b.o))/float64(b.o.Memory), 1/float64(max(b.o.Slots, 1)))
	b.rates.Load.Add(share * float64(r.Output))
}

// Adopt adds a booking that another home made some time ago, unless the request has one here.
func (b *Book) Adopt(now time.Time, k Booking) {
	if _, ok := b.bookings[k.Request]; ok {
		return
	}
	k.placedAt = now
	k.expiresAt = now.Add(b.o.BookingTimeout)
	k.Prefill = ""
	k.IsDirect = false
	b.bookings[k.Request] = &k
	b.noteExpiry(&k)
	if e := b.engines[k.Decode]; e != nil {
		e.booked += k.Tokens
		e.running++
		// A report that came first counted its memory as that of an unknown request.
		e.untracked = max(e.untracked-k.Tokens, 0)
		e.untrackedReported = max(e.untrackedReported-k.Tokens, 0)
	}
}

// DropOwner releases the bookings and removes the queued requests of owners for which gone returns true.
func (b *Book) DropOwner(now time.Time, gone func(Owner) bool) {
	for id, k := range b.bookings {
		if gone(k.Owner) {
			b.Ended(now, id)
		}
	}
	keep := b.waiting[:0]
	for _, r := range b.waiting {
		if !gone(r.Owner) {
			keep = append(keep, r)
		}
	}
	b.waiting = keep
}

// HeldBy returns the bookings of an owner.
func (b *Book) HeldBy(o Owner) []Booking {
	var held []Booking
	for _, k := range b.bookings {
		if k.Owner == o {
			held = append(held, *k)
		}
	}
	return held
}

// IsWaiting reports whether any request is queued.
func (b *Book) IsWaiting() bool {
	return len(b.waiting) > 0
}
