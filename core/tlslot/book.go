package tlslot

import (
	"time"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlfair"
	"trefoillanding/core/tlplace"
	"trefoillanding/core/tlshare"
)

const (
	// calmAfter is how long nothing may have been queued or turned away until contention ends.
	calmAfter = 5 * time.Second
	// suspendFor is how long no slots are assigned after messages took too long: as long as
	// a burst lasts.
	suspendFor = 5 * time.Second
	// minSamples is the number of reported ends below which a pause of one instance could
	// pass for a slow home.
	minSamples = 10
	// expiryMargin is the time beyond a request's latest end after which its slot is free
	// though no end was reported.
	expiryMargin = 250 * time.Millisecond
	// askGrace is the time after which a queued request is dropped whose owner has not asked
	// for it again: twice the time that an owner waits for an answer.
	askGrace = 500 * time.Millisecond
	// maxWaiting bounds the queue while the turnover is unknown.
	maxWaiting = 10_000
)

// Book assigns the slots of one service; it is not safe for concurrent use.
type Book struct {
	capacity func(endpoint string) (int, bool)

	endpoints map[string]*endpoint
	order     []*endpoint
	waiting   []*Request
	held      map[string]*hold
	shares    *tlfair.Shares

	// lateShare is the share of the slots given away while late requests were queued that
	// went to late ones; 1 where none were queued.
	lateShare tlshare.Share

	// promised is the number of refused requests that were told to return, as of promisedAt.
	promised   float64
	promisedAt time.Time
	// suspendedUntil is until when no slots are assigned, since messages took too long.
	suspendedUntil time.Time
	// troubledAt is when a request was last queued or turned away; zero while there is no contention.
	troubledAt time.Time
	// nextExpiry is the earliest time at which a slot may expire.
	nextExpiry time.Time
}

// hold is a slot that a request has.
type hold struct {
	endpoint  string
	owner     tlplace.Owner
	waited    time.Duration
	grantedAt time.Time
	expiresAt time.Time
}

// New returns a Book without endpoints. The function capacity returns how many requests an
// endpoint takes well at once; where that is unknown, its listed slots count.
func New(capacity func(endpoint string) (int, bool)) *Book {
	return &Book{
		capacity:  capacity,
		endpoints: map[string]*endpoint{},
		held:      map[string]*hold{},
		shares:    tlfair.New(),
		lateShare: 1,
	}
}

// SetEndpoints sets the endpoints that may be sent requests. What one runs that is no
// longer listed is counted on, since it may come back.
func (b *Book) SetEndpoints(list []tlendpoint.Endpoint) {
	for _, e := range b.order {
		e.isListed = false
	}
	b.order = b.order[:0]
	for _, l := range list {
		e := b.endpoints[l.ID]
		if e == nil || !e.IsSameIncarnation(l) {
			b.forget(l.ID)
			e = &endpoint{}
			b.endpoints[l.ID] = e
		}
		e.Endpoint, e.isListed = l, true
		b.order = append(b.order, e)
	}
	for id, e := range b.endpoints {
		if !e.isListed && e.held == 0 {
			delete(b.endpoints, id)
		}
	}
}

// forget drops the slots at an endpoint that has ended.
func (b *Book) forget(endpoint string) {
	for id, k := range b.held {
		if k.endpoint == endpoint {
			delete(b.held, id)
		}
	}
}

// MarkContended records that an endpoint has turned a request away; it reports whether
// contention begins.
func (b *Book) MarkContended(now time.Time) bool {
	if now.Before(b.suspendedUntil) {
		return false
	}
	began := b.troubledAt.IsZero()
	b.troubledAt = now
	return began
}

// IsContended reports whether the Book assigns the slots.
func (b *Book) IsContended() bool {
	return !b.troubledAt.IsZero()
}

// EndIfCalm ends contention if nothing was queued or turned away for long enough; it reports whether it ends.
func (b *Book) EndIfCalm(now time.Time) bool {
	if b.troubledAt.IsZero() || len(b.waiting) > 0 || now.Sub(b.troubledAt) < calmAfter {
		return false
	}
	b.troubledAt = time.Time{}
	return true
}

// SuspendIfSlow ends contention for a time if messages hold the slots for more than half as
// long as the requests in them: the home can't keep up then, and its queue of messages
// grows. Instances that choose by themselves do better. It reports whether no slots are
// assigned now.
func (b *Book) SuspendIfSlow(now time.Time) bool {
	if now.Before(b.suspendedUntil) {
		return true
	}
	var messages, answers time.Duration
	samples := 0
	for _, e := range b.order {
		messages += e.messages.mean
		answers += e.answerTime()
		samples += e.messages.samples
	}
	if 2*messages <= answers || samples < minSamples {
		return false
	}
	for _, e := range b.order {
		e.messages = average{}
	}
	b.waiting = nil
	b.suspendedUntil, b.troubledAt = now.Add(suspendFor), time.Time{}
	return true
}

// Take queues a request, or notes that its owner still asks for it, and returns what was
// decided, on this and on others.
func (b *Book) Take(now time.Time, r Request) []Decision {
	if k, ok := b.held[r.ID]; ok {
		return append(b.Tick(now), Decision{Request: r.ID, Endpoint: k.endpoint, Waited: k.waited})
	}
	for _, w := range b.waiting {
		if w.ID == r.ID {
			w.asked = now
			return b.Tick(now)
		}
	}
	b.expire(now)
	r.arrived, r.asked = now, now
	r.level = b.shares.Level(now, r.Organisation)
	if len(b.waiting) >= maxWaiting || !b.isHopeful(now, &r) {
		b.troubledAt = now
		return append(b.Tick(now), b.refuse(now, &r))
	}
	b.waiting = append(b.waiting, &r)
	decided := b.Tick(now)
	if len(b.waiting) > 0 {
		b.troubledAt = now
	}
	return decided
}

// End frees the slot of a request, or takes it out of the queue, and returns what was decided on others.
func (b *Book) End(now time.Time, end End) []Decision {
	if k, ok := b.held[end.Request]; ok {
		delete(b.held, end.Request)
		if e := b.endpoints[k.endpoint]; e != nil {
			e.held--
			e.observe(now, end, now.Sub(k.grantedAt))
		}
	}
	for n, w := range b.waiting {
		if w.ID == end.Request {
			b.waiting = append(b.waiting[:n], b.waiting[n+1:]...)
			break
		}
	}
	if end.Result == TurnedAway && b.IsContended() {
		b.troubledAt = now
	}
	return b.Tick(now)
}

// DropOwners frees the slots of owners that are gone, and takes their requests out of the queue.
func (b *Book) DropOwners(isGone func(tlplace.Owner) bool) {
	for id, k := range b.held {
		if isGone(k.owner) {
			b.release(id, k)
		}
	}
	keep := b.waiting[:0]
	for _, w := range b.waiting {
		if !isGone(w.Owner) {
			keep = append(keep, w)
		}
	}
	b.waiting = keep
}

func (b *Book) release(id string, k *hold) {
	delete(b.held, id)
	if e := b.endpoints[k.endpoint]; e != nil {
		e.held--
	}
}

// expire frees the slots whose requests must have ended.
func (b *Book) expire(now time.Time) {
	if now.Before(b.nextExpiry) {
		return
	}
	b.nextExpiry = now.Add(expiryMargin)
	for id, k := range b.held {
		if !now.Before(k.expiresAt) {
			b.release(id, k)
		}
	}
}

// Load is what an endpoint runs by the Book's count, and may run at once.
type Load struct {
	Held, Slots int
}

// Loads returns the load of each listed endpoint, and how many requests are queued.
func (b *Book) Loads() (loads map[string]Load, queued int) {
	loads = make(map[string]Load, len(b.order))
	for _, e := range b.order {
		loads[e.ID] = Load{Held: e.held, Slots: b.slots(e)}
	}
	return loads, len(b.waiting)
}
