package tlslotter

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlslot"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
)

// Slotter takes slots for the sends of an instance, and assigns those of the services
// whose home it is.
type Slotter struct {
	o Options

	mu    sync.Mutex
	desks map[string]*desk
	// contendedUntil has until when services count as contended here, and reportedAt when
	// the home was last told so.
	contendedUntil, reportedAt map[string]time.Time
	// silentUntil has until when homes are not asked.
	silentUntil map[string]time.Time
	// heardAt has when homes last answered a question.
	heardAt map[string]time.Time
}

// New returns a Slotter and registers its handlers with the mesh, which must not have been started.
func New(o Options) *Slotter {
	s := &Slotter{
		o:              o,
		desks:          map[string]*desk{},
		contendedUntil: map[string]time.Time{},
		reportedAt:     map[string]time.Time{},
		silentUntil:    map[string]time.Time{},
		heardAt:        map[string]time.Time{},
	}
	tlpeer.Handle(o.Mesh, kindTake, s.handleTake)
	tlpeer.Handle(o.Mesh, kindEnd, s.handleEnd)
	tlpeer.Handle(o.Mesh, kindContended, s.handleContended)
	return s
}

// Request is a send that needs a slot; Owner is set by the Slotter.
type Request struct {
	tlslot.Request
	// Service is the name of the service.
	Service string
	// IsRefused says that an endpoint has turned the request away for lack of capacity.
	IsRefused bool
}

// Slot is what a home decided on a send.
type Slot struct {
	tlslot.Decision
	// Service is the name of the service, and Home the instance that decided.
	Service, Home string
}

// IsContended reports whether the slots of a service are assigned by its home.
func (s *Slotter) IsContended(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.contendedUntil[service]
	return ok && s.o.Now().Before(until)
}

// Take waits for the home's decision on a send. It returns false if the instance has to
// choose by itself, since the home gives no answer or the service is not contended any
// more, or if ctx has ended; the request then has no slot.
func (s *Slotter) Take(ctx context.Context, r Request) (Slot, bool) {
	r.Owner = s.o.Self
	for hold := firstHold; ; hold = nextHold {
		home := s.o.Home(r.Service)
		if home == "" || s.isSilent(home) {
			s.o.Count(HomeSilent)
			return Slot{}, false
		}
		asked := s.o.Now()
		a, err := s.ask(ctx, home, r, hold)
		switch {
		case ctx.Err() != nil:
			s.sendEnd(home, tlwire.SlotEnd{Service: r.Service, Request: r.ID, Result: int(tlslot.Withdrawn)})
			return Slot{}, false
		case errors.Is(err, context.DeadlineExceeded) && s.hasHeard(home, asked):
			// It has answered others meanwhile: it is slow, and the request is queued there.
			continue
		case err != nil:
			s.o.Count(HomeSilent)
			s.markSilent(home, err)
			s.sendEnd(home, tlwire.SlotEnd{Service: r.Service, Request: r.ID, Result: int(tlslot.Withdrawn)})
			return Slot{}, false
		case a.IsOver:
			s.markContended(r.Service, 0)
			return Slot{}, false
		}
		s.markContended(r.Service, memory)
		if a.IsRefused || a.Endpoint != "" {
			return s.decided(home, r, a), true
		}
	}
}

func (s *Slotter) decided(home string, r Request, a tlwire.SlotAnswer) Slot {
	switch {
	case a.IsRefused:
		s.o.Count(Refused)
		a.Endpoint = ""
	case a.Waited > 0:
		s.o.Count(Queued)
		s.o.Count(Granted)
	default:
		s.o.Count(Granted)
	}
	d := tlslot.Decision{Request: r.ID, Endpoint: a.Endpoint, RetryAfter: a.RetryAfter, Waited: a.Waited}
	return Slot{Decision: d, Service: r.Service, Home: home}
}

// ask asks a home once, which may be this instance.
func (s *Slotter) ask(ctx context.Context, home string, r Request, hold time.Duration) (tlwire.SlotAnswer, error) {
	if home == s.o.Self.Name {
		return s.take(ctx, r, hold)
	}
	now := s.o.Now()
	c := tlwire.SlotCall{
		Service:      r.Service,
		Request:      r.ID,
		Rank:         r.Rank,
		Organisation: r.Organisation,
		Weight:       r.Weight,
		GiveUpIn:     r.GiveUp.Sub(now),
		Avoid:        r.Avoid,
		Hold:         hold,
		MayProbe:     r.MayProbe,
		IsRefused:    r.IsRefused,
	}
	if !r.Due.IsZero() {
		c.DueIn = r.Due.Sub(now)
	}
	ctx, stop := context.WithTimeout(ctx, hold+answerMargin)
	defer stop()
	a, err := tlpeer.Call[tlwire.SlotCall, tlwire.SlotAnswer](ctx, s.o.Mesh, home, kindTake, c)
	switch {
	case err == nil:
		s.mu.Lock()
		s.heardAt[home] = s.o.Now()
		s.mu.Unlock()
	case ctx.Err() != nil:
		err = ctx.Err()
	}
	return a, err
}

// hasHeard reports whether a home has answered a question since a time.
func (s *Slotter) hasHeard(home string, since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heardAt[home].After(since)
}

// End reports how the send with a slot ended, and frees it.
func (s *Slotter) End(k Slot, r tlslot.Result, took time.Duration) {
	s.sendEnd(k.Home, tlwire.SlotEnd{Service: k.Service, Request: k.Request, Result: int(r), Took: took})
}

func (s *Slotter) sendEnd(home string, e tlwire.SlotEnd) {
	if home == s.o.Self.Name {
		s.end(e)
		return
	}
	s.o.Post(home, kindEnd, func(ctx context.Context) error {
		return tlpeer.Send(ctx, s.o.Mesh, home, kindEnd, e)
	})
}

// TurnedAway takes in that an endpoint of a service turned a request away for lack of
// capacity, and tells the home.
func (s *Slotter) TurnedAway(service string) {
	s.o.Count(TurnedAway)
	now := s.o.Now()
	s.mu.Lock()
	isDue := now.Sub(s.reportedAt[service]) >= reportInterval
	if isDue {
		s.reportedAt[service] = now
	}
	if until := now.Add(memory); s.contendedUntil[service].Before(until) {
		s.contendedUntil[service] = until
	}
	s.mu.Unlock()
	home := s.o.Home(service)
	switch {
	case !isDue:
	case home == s.o.Self.Name:
		s.begin(service)
	case home != "":
		s.tell(home, tlwire.SlotsContended{Service: service, IsContended: true, IsReport: true})
	}
}

func (s *Slotter) tell(peer string, c tlwire.SlotsContended) {
	s.o.Post(peer, kindContended, func(ctx context.Context) error {
		return tlpeer.Send(ctx, s.o.Mesh, peer, kindContended, c)
	})
}

func (s *Slotter) handleContended(_ context.Context, from tlpeer.Peer, c tlwire.SlotsContended) (tlpeer.Empty, error) {
	switch {
	case c.IsReport && s.o.Home(c.Service) == s.o.Self.Name:
		s.begin(c.Service)
	case c.IsReport:
	case c.IsContended:
		s.markContended(c.Service, memory)
	case s.o.Home(c.Service) == from.Name:
		// Another instance that takes itself for the home may have had no load.
		s.markContended(c.Service, 0)
	}
	return tlpeer.Empty{}, nil
}

// markContended records that a service counts as contended for a time; not any more if it is 0.
func (s *Slotter) markContended(service string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d == 0 {
		delete(s.contendedUntil, service)
		return
	}
	s.contendedUntil[service] = s.o.Now().Add(d)
}

func (s *Slotter) isSilent(home string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.o.Now().Before(s.silentUntil[home])
}

func (s *Slotter) markSilent(home string, cause error) {
	s.mu.Lock()
	now := s.o.Now()
	isNews := !now.Before(s.silentUntil[home])
	maps.DeleteFunc(s.silentUntil, func(_ string, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(s.heardAt, func(_ string, at time.Time) bool { return now.Sub(at) > memory })
	s.silentUntil[home] = now.Add(homePause)
	s.mu.Unlock()
	if isNews {
		s.o.Log.WithFields(logrus.Fields{"Home": home, "Cause": cause.Error()}).Info("home of slots gave no answer")
	}
}
