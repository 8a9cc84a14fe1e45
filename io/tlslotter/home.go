package tlslotter

import (
	"context"
	"time"

	"trefoillanding/core/tlplace"
	"trefoillanding/core/tlslot"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
)

// desk is a service whose slots this instance assigns or has assigned.
type desk struct {
	book *tlslot.Book
	// waiters holds where decisions are awaited, by the IDs of requests.
	waiters map[string]chan tlslot.Decision
	// endedAt is when contention last ended here.
	endedAt time.Time
	// ownersCheckedAt is when owners that are gone were last looked for.
	ownersCheckedAt time.Time
}

// Load is what the home of a service knows of it.
type Load struct {
	// Queued is the number of requests that wait for a slot.
	Queued int
	// Endpoints has the load of each endpoint.
	Endpoints map[string]tlslot.Load
}

// Loads returns the load of each service whose slots this instance assigns.
func (s *Slotter) Loads() map[string]Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]Load{}
	for service, k := range s.desks {
		if k.book.IsContended() && s.o.Home(service) == s.o.Self.Name {
			loads, queued := k.book.Loads()
			all[service] = Load{Queued: queued, Endpoints: loads}
		}
	}
	return all
}

func (s *Slotter) handleTake(ctx context.Context, from tlpeer.Peer, c tlwire.SlotCall) (tlwire.SlotAnswer, error) {
	if s.o.Home(c.Service) != s.o.Self.Name {
		return tlwire.SlotAnswer{}, errNotHome
	}
	now := s.o.Now()
	r := Request{Service: c.Service, IsRefused: c.IsRefused, Request: tlslot.Request{
		ID:           c.Request,
		Owner:        tlplace.Owner{Name: from.Name, Incarnation: from.Incarnation},
		Rank:         c.Rank,
		Organisation: c.Organisation,
		Weight:       c.Weight,
		GiveUp:       now.Add(c.GiveUpIn),
		Avoid:        c.Avoid,
		MayProbe:     c.MayProbe,
	}}
	if c.DueIn != 0 {
		r.Due = now.Add(c.DueIn)
	}
	return s.take(ctx, r, min(c.Hold, nextHold))
}

// take asks the book for a slot, and waits for the decision for a time.
func (s *Slotter) take(ctx context.Context, r Request, d time.Duration) (tlwire.SlotAnswer, error) {
	decision, ok := s.submit(r)
	if !ok {
		return tlwire.SlotAnswer{IsOver: true}, nil
	}
	hold := time.NewTimer(d)
	defer hold.Stop()
	select {
	case d := <-decision:
		return s.answer(d), nil
	case <-hold.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	k := s.desks[r.Service]
	if k.waiters[r.ID] == decision {
		delete(k.waiters, r.ID)
	}
	s.mu.Unlock()
	select {
	case d := <-decision:
		return s.answer(d), nil
	default:
		return tlwire.SlotAnswer{}, ctx.Err()
	}
}

func (s *Slotter) answer(d tlslot.Decision) tlwire.SlotAnswer {
	if d.Endpoint != "" {
		s.o.Count(GivenOut)
	}
	return tlwire.SlotAnswer{Endpoint: d.Endpoint, IsRefused: d.Endpoint == "", RetryAfter: d.RetryAfter, Waited: d.Waited}
}

// submit gives a request to the book, and returns where its decision arrives; false if
// this instance assigns no slots of the service.
func (s *Slotter) submit(r Request) (chan tlslot.Decision, bool) {
	list := s.o.Endpoints(r.Service)
	if len(list) == 0 {
		return nil, false
	}
	now := s.o.Now()
	s.mu.Lock()
	k := s.desk(r.Service)
	if !r.IsRefused && !k.book.IsContended() && !k.endedAt.IsZero() && now.Sub(k.endedAt) < endMemory {
		s.mu.Unlock()
		return nil, false
	}
	isContended := k.book.IsContended()
	if k.book.SuspendIfSlow(now) {
		if isContended {
			k.endedAt = now
		}
		s.mu.Unlock()
		s.announce(r.Service, false, isContended, true)
		return nil, false
	}
	// A home that knows nothing learns of contention from the takes.
	began := !k.book.IsContended()
	if began || r.IsRefused {
		k.book.MarkContended(now)
	}
	k.book.SetEndpoints(list)
	if now.Sub(k.ownersCheckedAt) >= ownerCheckInterval {
		k.ownersCheckedAt = now
		k.book.DropOwners(s.o.IsGone)
	}
	decision := make(chan tlslot.Decision, 1)
	k.waiters[r.ID] = decision
	k.deliver(k.book.Take(now, r.Request))
	ended := k.endIfCalm(now)
	s.mu.Unlock()
	s.announce(r.Service, began, ended, r.IsRefused)
	return decision, true
}

// desk returns the desk of a service; s.mu must be held.
func (s *Slotter) desk(service string) *desk {
	k := s.desks[service]
	if k == nil {
		k = &desk{book: tlslot.New(s.o.Capacity), waiters: map[string]chan tlslot.Decision{}}
		s.desks[service] = k
	}
	return k
}

// deliver hands decisions to those who await them. What nobody awaits now is told when its
// owner asks again, or expires.
func (k *desk) deliver(decided []tlslot.Decision) {
	for _, d := range decided {
		if c, ok := k.waiters[d.Request]; ok {
			delete(k.waiters, d.Request)
			c <- d
		}
	}
}

func (k *desk) endIfCalm(now time.Time) bool {
	ended := k.book.EndIfCalm(now)
	if ended {
		k.endedAt = now
	}
	return ended
}

func (s *Slotter) handleEnd(_ context.Context, _ tlpeer.Peer, e tlwire.SlotEnd) (tlpeer.Empty, error) {
	s.end(e)
	return tlpeer.Empty{}, nil
}

func (s *Slotter) end(e tlwire.SlotEnd) {
	now := s.o.Now()
	s.mu.Lock()
	k := s.desks[e.Service]
	if k == nil {
		s.mu.Unlock()
		return
	}
	k.deliver(k.book.End(now, tlslot.End{Request: e.Request, Result: tlslot.Result(e.Result), Took: e.Took}))
	ended := k.endIfCalm(now)
	s.mu.Unlock()
	s.announce(e.Service, false, ended, true)
}

// begin records, at the home, that an endpoint of a service has turned a request away.
func (s *Slotter) begin(service string) {
	s.mu.Lock()
	began := s.desk(service).book.MarkContended(s.o.Now())
	s.mu.Unlock()
	s.announce(service, began, false, true)
}

// announce logs that contention has begun or ended, and tells all others. Those who ask a
// new home know of the contention, which the one before has told them.
func (s *Slotter) announce(service string, began, ended, isNews bool) {
	if !began && !ended {
		return
	}
	l := s.o.Log.WithField("Service", service)
	if began {
		s.o.Count(Contended)
		s.markContended(service, memory)
		l.Info("slots of service are assigned")
	}
	if ended {
		s.markContended(service, 0)
		l.Info("slots of service are assigned no more")
	}
	if !isNews && !ended {
		return
	}
	for _, name := range s.o.Others() {
		s.tell(name, tlwire.SlotsContended{Service: service, IsContended: !ended})
	}
}
