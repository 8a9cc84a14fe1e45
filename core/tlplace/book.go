package tlplace

import (
	"math/rand/v2"
	"time"

	"trefoillanding/core/tlendpoint"
)

const (
	// usualLife is how long a place is held before any was measured.
	usualLife = 4 * time.Second
	// usualTokenTime is the time of a place for each expected token before any was measured.
	usualTokenTime = 5 * time.Millisecond
	// lifeWeight is the weight of a new measurement of it, and of the work of a request.
	lifeWeight = 0.05
	// usualReadWork and usualDecodeWork are the seconds of an engine that a
	// request takes on each side before any was measured.
	usualReadWork   = 0.1
	usualDecodeWork = 0.4
)

// Book holds the engines, bookings and waiting requests of one service.
type Book struct {
	o        Options
	engines  map[string]*engine
	order    []*engine
	bookings map[string]*Booking
	waiting  []Request
	ways     ways
	life     time.Duration
	// tokenTime is the time of a place for each token that was expected.
	tokenTime time.Duration
	// readWork and decodeWork are the seconds of an engine that a request takes.
	readWork, decodeWork float64
	lastRequest          time.Time
	// endsFrom is the earliest time at which a booking ends without a word; the
	// booking that it was of may be gone.
	endsFrom time.Time
	random   *rand.Rand
}

// New returns an empty book.
func New(o Options, r *rand.Rand) *Book {
	return &Book{
		o:        o,
		engines:  map[string]*engine{},
		bookings: map[string]*Booking{},
		life:     usualLife,

		tokenTime: usualTokenTime,

		readWork:   usualReadWork,
		decodeWork: usualDecodeWork,
		random:     r,
	}
}

// SetEngines takes in the engines that are listed; one that started anew holds nothing of before.
func (b *Book) SetEngines(now time.Time, list []tlendpoint.Endpoint) {
	b.order = b.order[:0]
	listed := make(map[string]*engine, len(list))
	for _, l := range list {
		e, ok := b.engines[l.ID]
		if !ok || !e.IsSame(l) {
			b.forget(now, l.ID)
			e = &engine{slowness: 1}
		}
		if e.Role != l.Role {
			e.awayUntil = time.Time{}
		}
		e.Endpoint = l
		listed[l.ID] = e
		b.order = append(b.order, e)
	}
	for id := range b.engines {
		if listed[id] == nil {
			b.forget(now, id)
		}
	}
	b.engines = listed
}

// forget drops the bookings of a decode engine that is gone.
func (b *Book) forget(now time.Time, id string) {
	for request, k := range b.bookings {
		if k.Decode == id {
			b.leavePrefill(now, k)
			b.release(now, request)
		}
	}
}

// Submit takes in a request; a second one under its ID replaces the first.
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

// Enqueue takes in a request that is decided on at a later Tick.
func (b *Book) Enqueue(now time.Time, r Request) {
	b.Withdraw(now, r.ID)
	r.arrived = now
	b.waiting = append(b.waiting, r)
}

// Withdraw ends a request whose caller is gone, whatever its stage.
func (b *Book) Withdraw(now time.Time, id string) {
	for i, r := range b.waiting {
		if r.ID == id {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			break
		}
	}
	b.Ended(now, id)
}

// Prefilled notes that a request's prompt has been read.
func (b *Book) Prefilled(now time.Time, id string) {
	k := b.bookings[id]
	if k == nil || k.Prefill == "" {
		return
	}
	if e := b.engines[k.Prefill]; e != nil {
		e.served()
		e.learn(now.Sub(k.sent), k.readBy.Sub(k.sent))
		e.freeAt = e.freeAt.Add(now.Sub(k.readBy))
	}
	b.leavePrefill(now, k)
}

// PrefillFailed notes that an engine did not read a request's prompt.
func (b *Book) PrefillFailed(now time.Time, id, engine string, f Failure) {
	if e := b.engines[engine]; e != nil {
		e.fail(now, f, b.o)
	}
	if k := b.bookings[id]; k != nil && k.Prefill != "" {
		b.leavePrefill(now, k)
	}
}

// leavePrefill notes that a prefill engine has a prompt less to read.
func (b *Book) leavePrefill(now time.Time, k *Booking) {
	e := b.engines[k.Prefill]
	k.Prefill = ""
	if e == nil {
		return
	}
	e.reading = max(e.reading-1, 0)
	if e.reading == 0 {
		e.freeAt = now
	}
}

// Ended frees a request's place.
func (b *Book) Ended(now time.Time, id string) {
	k := b.bookings[id]
	if k == nil {
		return
	}
	held := now.Sub(k.sent)
	b.life += time.Duration(lifeWeight * float64(held-b.life))
	if k.prompt > 0 {
		b.readWork += lifeWeight * (b.readTime(k.prompt, 1).Seconds() - b.readWork)
		b.decodeWork += lifeWeight * (held.Seconds()*float64(k.Tokens)/float64(b.o.Memory) - b.decodeWork)
	}
	b.leavePrefill(now, k)
	b.release(now, id)
}

// Served notes that an engine served a request to its end, and frees its place.
func (b *Book) Served(now time.Time, id string) {
	k := b.bookings[id]
	if k == nil {
		return
	}
	if e := b.engines[k.Decode]; e != nil {
		e.served()
		if !k.hasStalled && k.hasWay() {
			b.ways.of(e.DataCentre, k.dataCentre).pass()
		}
	}
	if k.output > 0 {
		b.tokenTime += time.Duration(lifeWeight * float64(now.Sub(k.sent)/time.Duration(k.output)-b.tokenTime))
	}
	b.Ended(now, id)
}

// Failed notes that an engine failed a request, and frees its place.
func (b *Book) Failed(now time.Time, id, engine string, f Failure) {
	if e := b.engines[engine]; e != nil {
		e.fail(now, f, b.o)
	}
	b.Ended(now, id)
}

// Stalled notes that a request's answer paused for long on its way.
func (b *Book) Stalled(now time.Time, id string) {
	k := b.bookings[id]
	if k == nil || k.hasStalled || !k.hasWay() {
		return
	}
	k.hasStalled = true
	if e := b.engines[k.Decode]; e != nil {
		b.ways.of(e.DataCentre, k.dataCentre).stall(now)
	}
}

// EngineSilent notes that nothing has come of a request for long, which keeps its
// place: its answer may still come.
func (b *Book) EngineSilent(engine string) {
	if e := b.engines[engine]; e != nil {
		e.lose()
	}
}

// EngineFull notes that an engine had no room for a request that had a place there,
// and frees the place; that is no fault of the engine.
func (b *Book) EngineFull(now time.Time, id, engine string) {
	if e := b.engines[engine]; e != nil {
		e.doubtUntil = later(e.doubtUntil, now.Add(b.o.FullPause))
	}
	b.Ended(now, id)
}

// DirectPrefillDone notes that the decode engine has read a prompt itself.
func (b *Book) DirectPrefillDone(id string) {
	k := b.bookings[id]
	if k == nil || !k.IsDirect {
		return
	}
	k.IsDirect = false
	if e := b.engines[k.Decode]; e != nil {
		e.direct = max(e.direct-1, 0)
	}
}

func (b *Book) release(now time.Time, id string) {
	b.DirectPrefillDone(id)
	k := b.bookings[id]
	delete(b.bookings, id)
	if e := b.engines[k.Decode]; e != nil {
		e.booked -= k.Tokens
		e.running--
		e.left = append(e.left, leftPlace{now, k.Tokens})
	}
}

// Adopt takes in a place that was booked at another home.
func (b *Book) Adopt(now time.Time, k Booking) {
	if _, ok := b.bookings[k.Request]; ok {
		return
	}
	k.sent = now
	k.until = now.Add(b.o.BookedFor)
	k.Prefill = ""
	k.IsDirect = false
	b.bookings[k.Request] = &k
	b.noteEnd(&k)
	if e := b.engines[k.Decode]; e != nil {
		e.booked += k.Tokens
		e.running++
	}
}

// DropOwner frees the places of an instance that is gone.
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

// HeldBy returns the places of an instance's requests.
func (b *Book) HeldBy(o Owner) []Booking {
	var held []Booking
	for _, k := range b.bookings {
		if k.Owner == o {
			held = append(held, *k)
		}
	}
	return held
}

// IsWaiting says whether requests wait for a place.
func (b *Book) IsWaiting() bool {
	return len(b.waiting) > 0
}

// Sums tells how full a book is.
type Sums struct {
	// Readers and Decoders count the engines of each role that are in use.
	Readers, Decoders int
	// Reading counts the prompts at prefill engines, Running the places at decode engines.
	Reading, Running int
	// Booked and Memory are tokens of all decode engines in use.
	Booked, Memory int
	// Foreign is memory that others hold there.
	Foreign int
	// Waiting counts the requests without a place.
	Waiting int
	// Risky counts the decode engines that lost answers of late.
	Risky int
	// IsStalling says that answers pause between data centres.
	IsStalling bool
}

// Sums returns how full the book is.
func (b *Book) Sums(now time.Time) Sums {
	s := Sums{Waiting: len(b.waiting), IsStalling: b.ways.isStalling(now)}
	for _, e := range b.order {
		if !e.isUsable(now) {
			continue
		}
		switch e.Role {
		case tlendpoint.Prefill:
			s.Readers++
			s.Reading += e.reading
		case tlendpoint.Decode:
			s.Decoders++
			if e.isRisky() {
				s.Risky++
			}
			s.Running += e.running
			s.Booked += e.booked
			s.Foreign += e.foreign
			s.Memory += b.o.Memory
		}
	}
	return s
}
