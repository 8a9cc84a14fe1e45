package tlsched

import (
	"math/rand/v2"
	"time"

	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

// Scheduler holds the soft state of one pool and answers each event with the
// steps that owners are to take; it is not safe for concurrent use.
type Scheduler struct {
	pool     tlwire.Pool
	service  tlwire.Service
	bounds   tlwire.Bounds
	options  Options
	random   *rand.Rand
	engines  map[string]*engine
	order    []*engine
	requests map[string]*request
	waiting  []*request
	held     []*request
	steps    []tlwire.Step
	counts   Counts
}

// New returns a scheduler for the pool of a service with the default options.
func New(p tlwire.Pool, s tlwire.Service, o []tlwire.Organisation, r *rand.Rand) *Scheduler {
	return NewWith(DefaultOptions(), p, s, o, r)
}

// NewWith returns a scheduler for the pool of a service with the options given.
func NewWith(o Options, p tlwire.Pool, s tlwire.Service, g []tlwire.Organisation, r *rand.Rand) *Scheduler {
	_ = g
	n := &Scheduler{
		pool:     p,
		service:  s,
		bounds:   boundsOf(s),
		options:  o,
		random:   r,
		engines:  make(map[string]*engine),
		requests: make(map[string]*request),
	}
	for _, e := range p.Engines {
		n.add(newEngine(e, o.AssumedPieces))
	}
	return n
}

func boundsOf(s tlwire.Service) tlwire.Bounds {
	var b tlwire.Bounds
	if s.Bounds != nil {
		b = *s.Bounds
	}
	if b.QueueLength == 0 {
		b.QueueLength = defaultQueueLength
	}
	return b
}

func (s *Scheduler) add(e *engine) {
	s.engines[e.name] = e
	s.order = append(s.order, e)
}

// Submit queues a request; a step that refuses it may come back at once.
func (s *Scheduler) Submit(now time.Time, q tlwire.Submission) []tlwire.Step {
	r := newRequest(q)
	if old := s.requests[q.Request]; old != nil {
		if q.Tries <= old.Tries && q.Owner == old.Owner && q.Incarnation == old.Incarnation {
			s.counts[DroppedDuplicate]++
			return nil
		}
		s.counts[RetriedResubmitted]++
		s.end(old)
		r.number = max(r.number, old.number)
	}
	r.nextAttempt()
	if !s.admit(r) {
		return s.take()
	}
	s.requests[r.Request] = r
	s.waiting = append(s.waiting, r)
	s.place(now)
	return s.take()
}

// Report takes in what an owner tells of one of its requests.
func (s *Scheduler) Report(now time.Time, p tlwire.Report) []tlwire.Step {
	r := s.requests[p.Request]
	if r == nil {
		s.counts[DroppedUnknownRequest]++
		return nil
	}
	h, ok := handlers[p.Kind]
	if !ok || (p.Attempt != r.attempt && !h.anyAttempt) || (h.stage != r.stage && !h.anyStage) {
		s.counts[DroppedStaleReport]++
		return nil
	}
	h.handle(s, now, r, p)
	s.place(now)
	return s.take()
}

// Load takes in an engine's lagging load report.
func (s *Scheduler) Load(now time.Time, l tlwire.LoadReport) []tlwire.Step {
	e := s.engines[l.Name]
	if e == nil {
		return nil
	}
	e.role = l.Role
	e.draining = l.Draining
	e.pieces = l.PiecesTotal
	s.place(now)
	return s.take()
}

// CacheEvents takes in a run of an engine's late and gappy cache events.
func (s *Scheduler) CacheEvents(now time.Time, engine string, e tlwire.CacheEvents) {
	_, _, _ = now, engine, e
}

// Engine takes in a change of an engine's state.
func (s *Scheduler) Engine(now time.Time, name string, t EngineState) []tlwire.Step {
	e := s.engines[name]
	if e == nil {
		return nil
	}
	e.state = t
	if t == EngineGone {
		s.failOver(now, e)
	}
	s.place(now)
	return s.take()
}

// OwnerGone ends all requests of an owner whose incarnation is not above the one given.
func (s *Scheduler) OwnerGone(now time.Time, owner string, incarnation uint64) []tlwire.Step {
	for _, r := range s.sorted() {
		if r.Owner == owner && r.Incarnation <= incarnation {
			s.cancel(r)
		}
	}
	s.place(now)
	return s.take()
}

// Tick lets time pass.
func (s *Scheduler) Tick(now time.Time) []tlwire.Step {
	s.place(now)
	return s.take()
}

// Next returns when Tick must be called at the latest; zero means that nothing waits for time.
func (s *Scheduler) Next() time.Time {
	var t time.Time
	for _, r := range s.held {
		t = earlier(t, r.heldUntil)
	}
	if len(s.waiting)+len(s.held) == 0 {
		return t
	}
	for _, e := range s.order {
		t = earlier(t, e.suspended)
	}
	return t
}

func earlier(t, u time.Time) time.Time {
	if t.IsZero() || (!u.IsZero() && u.Before(t)) {
		return u
	}
	return t
}

// Summary returns what other instances are told of the pool.
func (s *Scheduler) Summary(now time.Time) tlwire.PoolSummary {
	p := tlwire.PoolSummary{Pool: s.pool.Name, Waiting: len(s.waiting)}
	for _, e := range s.order {
		if e.decodesToo() && e.takesWork(now) {
			p.PiecesTotal += e.pieces
			p.PiecesFree += max(e.free(), 0)
		}
	}
	return p
}

// Counts returns the value of every counter.
func (s *Scheduler) Counts() Counts {
	return s.counts
}

func (s *Scheduler) take() []tlwire.Step {
	t := s.steps
	s.steps = nil
	return t
}

func (s *Scheduler) refuse(r *request, c Counter, v tlverdict.Reason, after time.Duration) {
	s.counts[c]++
	t := r.step(tlwire.StepKindRefuse)
	t.Reason = string(v)
	t.RetryAfter = after
	s.steps = append(s.steps, t)
}
