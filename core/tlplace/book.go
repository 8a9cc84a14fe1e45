package tlplace

import (
	"math/rand/v2"
	"time"

	"trefoillanding/core/tlendpoint"
)

const (
	// initialBookingTime is the average time of a booking before any was measured.
	initialBookingTime = 4 * time.Second
	// initialTokenTime is the time of a booking per expected output token before any was measured.
	initialTokenTime = 5 * time.Millisecond
	// averageWeight is the weight of a new measurement in the averages of a book.
	averageWeight = 0.05
	// initialPrefillWork and initialDecodeWork are the engine seconds that a request
	// takes on each side before any was measured.
	initialPrefillWork = 0.1
	initialDecodeWork  = 0.4
)

// Book holds the engines, bookings and queued requests of one service.
type Book struct {
	o           Options
	engines     map[string]*engine
	order       []*engine
	bookings    map[string]*Booking
	waiting     []Request
	stalls      stallTracker
	bookingTime time.Duration
	// tokenTime is the average time of a booking per expected output token.
	tokenTime time.Duration
	// prefillWork and decodeWork are the average engine seconds that a request takes on each side.
	prefillWork, decodeWork float64
	lastRequest             time.Time
	// earliestExpiry is the earliest time at which a booking may expire; the booking
	// that it was noted for may have ended since.
	earliestExpiry time.Time
	random         *rand.Rand
}

// New returns an empty book.
func New(o Options, r *rand.Rand) *Book {
	return &Book{
		o:           o,
		engines:     map[string]*engine{},
		bookings:    map[string]*Booking{},
		bookingTime: initialBookingTime,

		tokenTime: initialTokenTime,

		prefillWork: initialPrefillWork,
		decodeWork:  initialDecodeWork,
		random:      r,
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
			e = &engine{slowness: 1}
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
	r.arrived = now
	if d, refused := b.refuseEarly(now, r); refused {
		return []Decision{d}
	}
	b.waiting = append(b.waiting, r)
	return b.Tick(now)
}

// Enqueue queues a request without deciding on it until the next Tick.
func (b *Book) Enqueue(now time.Time, r Request) {
	b.Withdraw(now, r.ID)
	r.arrived = now
	b.waiting = append(b.waiting, r)
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
func (b *Book) Prefilled(now time.Time, id string) {
	k := b.bookings[id]
	if k == nil || k.Prefill == "" {
		return
	}
	if e := b.engines[k.Prefill]; e != nil {
		e.recordSuccess()
		e.updateSlowness(now.Sub(k.placedAt), k.prefillExpectedAt.Sub(k.placedAt))
		e.freeAt = e.freeAt.Add(now.Sub(k.prefillExpectedAt))
	}
	b.endPrefill(now, k)
}

// PrefillFailed records that an engine failed to read a request's prompt; the booking stays.
func (b *Book) PrefillFailed(now time.Time, id, engine string, f Failure) {
	if e := b.engines[engine]; e != nil {
		e.recordFailure(now, f, b.o)
	}
	if k := b.bookings[id]; k != nil && k.Prefill != "" {
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
	held := now.Sub(k.placedAt)
	b.bookingTime += time.Duration(averageWeight * float64(held-b.bookingTime))
	if k.prompt > 0 {
		b.prefillWork += averageWeight * (b.prefillTime(k.prompt, 1).Seconds() - b.prefillWork)
		b.decodeWork += averageWeight * (held.Seconds()*float64(k.Tokens)/float64(b.o.Memory) - b.decodeWork)
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
	if k.output > 0 {
		b.tokenTime += time.Duration(averageWeight * float64(now.Sub(k.placedAt)/time.Duration(k.output)-b.tokenTime))
	}
	b.Ended(now, id)
}

// Failed records that an engine failed a request, and releases its booking.
func (b *Book) Failed(now time.Time, id, engine string, f Failure) {
	if e := b.engines[engine]; e != nil {
		e.recordFailure(now, f, b.o)
	}
	b.Ended(now, id)
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

// EngineFull records that an engine had no room for a booked request, and releases the
// booking; that does not count as a failure of the engine.
func (b *Book) EngineFull(now time.Time, id, engine string) {
	if e := b.engines[engine]; e != nil {
		e.backoffUntil = later(e.backoffUntil, now.Add(b.o.FullBackoff))
	}
	b.Ended(now, id)
}

// DirectPrefillDone records that a decode engine has read a prompt itself.
func (b *Book) DirectPrefillDone(id string) {
	k := b.bookings[id]
	if k == nil || !k.IsDirect {
		return
	}
	k.IsDirect = false
	if e := b.engines[k.Decode]; e != nil {
		e.directPrefills = max(e.directPrefills-1, 0)
	}
}

func (b *Book) release(now time.Time, id string) {
	b.DirectPrefillDone(id)
	k := b.bookings[id]
	delete(b.bookings, id)
	if e := b.engines[k.Decode]; e != nil {
		e.booked -= k.Tokens
		e.running--
		e.released = append(e.released, releasedBooking{now, k.Tokens})
	}
}

// Adopt adds a booking that another home made, unless the request has one here.
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

// Totals sums up the load of a book's engines and its queue.
type Totals struct {
	// Readers and Decoders count the usable prefill and decode engines.
	Readers, Decoders int
	// Reading counts the unread prompts at prefill engines, Running the bookings at decode engines.
	Reading, Running int
	// Booked and Memory are the booked and the total tokens of all usable decode engines.
	Booked, Memory int
	// Foreign is the memory there, in tokens, that is in use by requests without a booking in this book.
	Foreign int
	// Waiting counts the queued requests.
	Waiting int
	// Risky counts the usable decode engines that recently lost too many answers.
	Risky int
	// IsStalling is set while answers stall between data centres.
	IsStalling bool
}

// Totals returns the current load of the book.
func (b *Book) Totals(now time.Time) Totals {
	s := Totals{Waiting: len(b.waiting), IsStalling: b.stalls.isStalling(now)}
	for _, e := range b.order {
		if !e.isUsable(now) {
			continue
		}
		switch e.Role {
		case tlendpoint.Prefill:
			s.Readers++
			s.Reading += e.prefills
		case tlendpoint.Decode:
			s.Decoders++
			if e.isRisky() {
				s.Risky++
			}
			s.Running += e.running
			s.Booked += e.booked
			s.Foreign += e.untracked
			s.Memory += b.o.Memory
		}
	}
	return s
}
