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

// Sweeper sweeps the engines of this instance's pools until its context ends.
type Sweeper struct {
	deps  Deps
	times Times
	nudge chan struct{}
	wake  chan struct{}
	done  chan struct{}

	// mutex guards what follows; it is a leaf.
	mutex   sync.Mutex
	sweep   *tlsweep.Sweep
	watches map[string]*watch
}

// watch says when an engine was last listed, whether that still runs, and
// whether the engine reports attempts that nobody reads.
type watch struct {
	address netip.AddrPort
	last    time.Time
	busy    bool
	unread  bool
}

// New returns a sweeper that has not started.
func New(d Deps, t Times, l tlsweep.Limits) *Sweeper {
	return &Sweeper{
		deps:  d,
		times: t,
		nudge: make(chan struct{}, 1),
		wake:  make(chan struct{}, 1),
		done:  make(chan struct{}),
		sweep: tlsweep.New(l),

		watches: map[string]*watch{},
	}
}

// Nudge makes the sweeper look at once, as when an owner was lost.
func (s *Sweeper) Nudge() {
	select {
	case s.nudge <- struct{}{}:
	default:
	}
}

// Reported takes in an engine's load report.
func (s *Sweeper) Reported(a netip.AddrPort, l tlwire.LoadReport) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, w := range s.watches {
		if w.address == a {
			w.unread = l.Unread > 0
		}
	}
	if l.Unread > 0 {
		s.awake()
	}
}

// Done is closed when the sweeper has ended.
func (s *Sweeper) Done() <-chan struct{} {
	return s.done
}

// Run sweeps until the context ends; it is called once.
func (s *Sweeper) Run(x context.Context) {
	defer close(s.done)
	var g sync.WaitGroup
	defer g.Wait()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-s.nudge:
			s.hurry()
		case <-s.wake:
		case <-x.Done():
			return
		}
		t.Reset(s.round(x, &g))
	}
}

// hurry makes every engine due.
func (s *Sweeper) hurry() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, w := range s.watches {
		w.last = time.Time{}
	}
}

// round starts to look at the engines that are due and returns when the next
// one is.
func (s *Sweeper) round(x context.Context, g *sync.WaitGroup) time.Duration {
	engines := s.deps.Engines()
	now := s.deps.Now()
	next := now.Add(s.times.Every)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.keep(engines)
	for _, e := range engines {
		w := s.watches[e.Name]
		if !w.busy && !s.due(e.Name, w).After(now) {
			w.last, w.busy = now, true
			g.Go(func() { s.look(x, e, w) })
		}
		if d := s.due(e.Name, w); d.Before(next) {
			next = d
		}
	}
	return max(next.Sub(now), s.times.Least)
}

// due returns when an engine is to be listed again; it needs the mutex.
func (s *Sweeper) due(engine string, w *watch) time.Time {
	d := w.last.Add(s.times.Every)
	if w.unread {
		d = w.last.Add(s.times.Unread)
	}
	n := s.sweep.Next(engine)
	if n.After(w.last) && n.Before(d) {
		return later(n, w.last.Add(s.times.Least))
	}
	return d
}

// keep forgets engines that are no longer ours; it needs the mutex.
func (s *Sweeper) keep(engines []tlwire.Engine) {
	names := make([]string, 0, len(engines))
	for _, e := range engines {
		names = append(names, e.Name)
		if s.watches[e.Name] == nil {
			s.watches[e.Name] = &watch{}
		}
		s.watches[e.Name].address = e.Address
	}
	s.sweep.Keep(names)
	maps.DeleteFunc(s.watches, func(n string, _ *watch) bool { return !slices.Contains(names, n) })
}

// look lists one engine, cancels what is due and asks owners.
func (s *Sweeper) look(x context.Context, e tlwire.Engine, w *watch) {
	defer s.looked(w)
	l, err := s.list(x, e)
	if err != nil {
		s.deps.Count(CountListFailed, 1)
		return
	}
	s.deps.Count(CountListed, 1)
	now := s.deps.Now()
	s.mutex.Lock()
	cancels := s.sweep.See(now, e.Name, l.Streams, s.deps.Fate)
	questions := s.sweep.Questions(now, e.Name)
	s.mutex.Unlock()
	s.cancel(e, cancels)
	var g sync.WaitGroup
	for _, q := range questions {
		g.Go(func() { s.ask(x, e, q) })
	}
	g.Wait()
}

// looked makes the loop see what has become due in the meantime.
func (s *Sweeper) looked(w *watch) {
	s.mutex.Lock()
	w.busy = false
	s.mutex.Unlock()
	s.awake()
}

func (s *Sweeper) awake() {
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
		s.sweep.NoAnswer(s.deps.Now(), q)
	} else {
		cancels = s.sweep.Answer(s.deps.Now(), q, owned)
	}
	s.mutex.Unlock()
	s.cancel(e, cancels)
}

func (s *Sweeper) cancel(e tlwire.Engine, cancels []tlsweep.Cancel) {
	for _, c := range cancels {
		if !c.Again {
			s.deps.Count(string(c.Reason), 1)
		}
		s.deps.Sweep(e.Address, c.Attempt, c.Owner.Name, c.Owner.Incarnation)
	}
}
