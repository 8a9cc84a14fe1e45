package tlorphan

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"trefoillanding/core/tlsweep"
	"trefoillanding/core/tlwire"
)

// Sweeper cancels attempts without an owner in the engines of this instance's pools.
type Sweeper struct {
	deps    Deps
	times   Times
	trigger chan struct{}
	wake    chan struct{}
	done    chan struct{}

	// mutex guards the fields below. Deps.Liveness, Deps.Count and Deps.Now are called
	// while it is held and must not call the sweeper.
	mutex   sync.Mutex
	tracker *tlsweep.Tracker
	states  map[string]*engineState
}

// engineState says when an engine was last listed, whether a check of it is still
// running, and whether it reports attempts without a reader.
type engineState struct {
	address    netip.AddrPort
	listedAt   time.Time
	isChecking bool
	hasUnread  bool
}

// New returns a sweeper; Run starts it.
func New(d Deps, t Times, l tlsweep.Limits) *Sweeper {
	return &Sweeper{
		deps:    d,
		times:   t,
		trigger: make(chan struct{}, 1),
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		tracker: tlsweep.New(l),

		states: map[string]*engineState{},
	}
}

// Trigger makes every engine due at once, for example after an owner was lost.
func (s *Sweeper) Trigger() {
	select {
	case s.trigger <- struct{}{}:
	default:
	}
}

// HandleLoadReport applies an engine's load report.
func (s *Sweeper) HandleLoadReport(a netip.AddrPort, l tlwire.LoadReport) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, w := range s.states {
		if w.address == a {
			w.hasUnread = l.Unread > 0
		}
	}
	if l.Unread > 0 {
		s.wakeLoop()
	}
}

// Done is closed when the sweeper has ended.
func (s *Sweeper) Done() <-chan struct{} {
	return s.done
}

// Run checks engines until the context ends; it may be called only once.
func (s *Sweeper) Run(x context.Context) {
	defer close(s.done)
	var g sync.WaitGroup
	defer g.Wait()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-s.trigger:
			s.makeAllDue()
		case <-s.wake:
		case <-x.Done():
			return
		}
		t.Reset(s.checkDueEngines(x, &g))
	}
}

// makeAllDue makes every engine due.
func (s *Sweeper) makeAllDue() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, w := range s.states {
		w.listedAt = time.Time{}
	}
}

// checkDueEngines starts a check of each engine that is due and returns the
// time until the next one is due.
func (s *Sweeper) checkDueEngines(x context.Context, g *sync.WaitGroup) time.Duration {
	engines := s.deps.Engines()
	now := s.deps.Now()
	next := now.Add(s.times.ListInterval)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.syncEngines(engines)
	for _, e := range engines {
		w := s.states[e.Name]
		if !w.isChecking && !s.due(e.Name, w).After(now) {
			w.listedAt, w.isChecking = now, true
			g.Go(func() { s.checkEngine(x, e, w) })
		}
		if d := s.due(e.Name, w); d.Before(next) {
			next = d
		}
	}
	return max(next.Sub(now), s.times.MinInterval)
}

// due returns when an engine is to be listed again; the caller holds the mutex.
func (s *Sweeper) due(engine string, w *engineState) time.Time {
	d := w.listedAt.Add(s.times.ListInterval)
	if w.hasUnread {
		d = w.listedAt.Add(s.times.UnreadInterval)
	}
	n := s.tracker.NextCheck(engine)
	if n.After(w.listedAt) && n.Before(d) {
		return later(n, w.listedAt.Add(s.times.MinInterval))
	}
	return d
}

// syncEngines adds state for new engines, updates addresses and drops engines that are
// no longer in this instance's pools; the caller holds the mutex.
func (s *Sweeper) syncEngines(engines []tlwire.Engine) {
	names := make([]string, 0, len(engines))
	for _, e := range engines {
		names = append(names, e.Name)
		if s.states[e.Name] == nil {
			s.states[e.Name] = &engineState{}
		}
		s.states[e.Name].address = e.Address
	}
	s.tracker.RetainEngines(names)
	maps.DeleteFunc(s.states, func(n string, _ *engineState) bool { return !slices.Contains(names, n) })
}

// checkEngine lists one engine, cancels the attempts that are due and asks owners.
func (s *Sweeper) checkEngine(x context.Context, e tlwire.Engine, w *engineState) {
	defer s.finishCheck(w)
	l, err := s.list(x, e)
	if err != nil {
		s.deps.Count(CountListFailed, 1)
		return
	}
	s.deps.Count(CountListed, 1)
	now := s.deps.Now()
	s.mutex.Lock()
	cancels := s.tracker.Observe(now, e.Name, l.Streams, s.deps.Liveness)
	questions := s.tracker.Questions(now, e.Name)
	s.mutex.Unlock()
	s.cancel(e, cancels)
	var g sync.WaitGroup
	for _, q := range questions {
		g.Go(func() { s.ask(x, e, q) })
	}
	g.Wait()
}

// finishCheck wakes the loop, so that it sees what became due during the check.
func (s *Sweeper) finishCheck(w *engineState) {
	s.mutex.Lock()
	w.isChecking = false
	s.mutex.Unlock()
	s.wakeLoop()
}

func (s *Sweeper) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *Sweeper) list(x context.Context, e tlwire.Engine) (tlwire.StreamList, error) {
	x, stop := context.WithTimeout(x, s.times.Timeout)
	defer stop()
	return s.deps.List(x, e.Address)
}

func (s *Sweeper) ask(x context.Context, e tlwire.Engine, q tlsweep.Question) {
	x, stop := context.WithTimeout(x, s.times.Timeout)
	defer stop()
	s.deps.Count(CountAsked, 1)
	owned, err := s.deps.AskOwner(x, q.Owner, q.Attempts)
	s.mutex.Lock()
	var cancels []tlsweep.Cancel
	if err != nil || len(owned) != len(q.Attempts) {
		s.deps.Count(CountAskFailed, 1)
		s.tracker.NoAnswer(s.deps.Now(), q)
	} else {
		cancels = s.tracker.Answer(s.deps.Now(), q, owned)
	}
	s.mutex.Unlock()
	s.cancel(e, cancels)
}

func (s *Sweeper) cancel(e tlwire.Engine, cancels []tlsweep.Cancel) {
	for _, c := range cancels {
		if !c.IsRepeat {
			s.deps.Count(string(c.Reason), 1)
		}
		s.deps.Sweep(e.Address, c.Attempt, c.Owner.Name, c.Owner.Incarnation)
	}
}
