package tlsched

import (
	"math/rand/v2"
	"time"

	"trefoillanding/core/tlbudget"
	"trefoillanding/core/tlprefix"
	"trefoillanding/core/tlqueue"
	"trefoillanding/core/tlwire"
)

// Scheduler holds the soft state of one pool and answers each event with the
// steps that owners are to take; it is not safe for concurrent use.
type Scheduler struct {
	pool     tlwire.Pool
	bounds   tlwire.Bounds
	targets  tlwire.Targets
	weights  tlwire.Weights
	options  Options
	random   *rand.Rand
	engines  map[string]*engine
	order    []*engine
	capacity capacity
	requests map[string]*request
	queue    *tlqueue.Queue[*request]
	shares   *shares
	unfunded []*request
	blocked  []*tlqueue.Item[*request]
	prefixes *tlprefix.Index
	budget   *tlbudget.Budget
	known    knowledge
	last     time.Time
	steps    []tlwire.Step
	counts   Counts
}

// tickEvery is the longest time between ticks while something waits.
const tickEvery = 100 * time.Millisecond

// New returns a scheduler for the pool of a service with the default options.
func New(p tlwire.Pool, s tlwire.Service, o []tlwire.Organisation, r *rand.Rand) *Scheduler {
	return NewWithOptions(DefaultOptions(), p, s, o, r)
}

// NewWithOptions returns a scheduler for the pool of a service with the options given.
func NewWithOptions(o Options, p tlwire.Pool, s tlwire.Service, g []tlwire.Organisation, r *rand.Rand) *Scheduler {
	n := &Scheduler{
		options:  o,
		random:   r,
		engines:  make(map[string]*engine),
		requests: make(map[string]*request),
		shares:   newShares(weightsOf(g)),
		queue:    tlqueue.New[*request](weightsOf(g), o.LateShare),
		prefixes: tlprefix.New(0),
		known:    newKnowledge(o.AssumedAnswer),
	}
	n.configure(p, s)
	n.budget = tlbudget.New(n.bounds.RetryShare, o.RetryBurst)
	return n
}

// Submit queues a request; a step that refuses it may come back at once.
func (s *Scheduler) Submit(now time.Time, q tlwire.Submission) []tlwire.Step {
	s.last = now
	r := newRequest(q)
	if old := s.requests[q.Request]; old != nil {
		if q.Tries <= old.Tries && q.Owner == old.Owner && q.Incarnation == old.Incarnation {
			s.counts[DroppedDuplicate]++
			return nil
		}
		s.counts[RetriedResubmitted]++
		s.end(now, old)
		r.number = max(r.number, old.number)
	}
	r.nextAttempt()
	r.Due = s.due(r)
	s.prepare(now, r, r.Due)
	if s.spills(now, r) {
		s.spill(r)
		return s.take()
	}
	s.known.asked.Add(now, 1)
	if s.admit(now, r) {
		s.requests[r.Request] = r
		s.queue.Push(now, &r.item)
	}
	s.place(now)
	return s.take()
}

// Report takes in what an owner tells of one of its requests.
func (s *Scheduler) Report(now time.Time, p tlwire.Report) []tlwire.Step {
	s.last = now
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

// UpdateLoad takes in an engine's lagging load report.
func (s *Scheduler) UpdateLoad(now time.Time, l tlwire.LoadReport) []tlwire.Step {
	s.last = now
	e := s.engines[l.Name]
	if e == nil {
		return nil
	}
	e.role = l.Role
	e.memory.Resize(l.PiecesTotal)
	e.history.note(now, e.imported)
	e.memory.SetUsedByOthers(l.PiecesTotal - l.PiecesFree - e.history.max())
	if l.Draining && !e.draining {
		s.unreserve(e)
	}
	e.draining = l.Draining
	s.capacity = s.measure()
	s.place(now)
	return s.take()
}

// ApplyCacheEvents takes in a run of an engine's late and gappy cache events.
func (s *Scheduler) ApplyCacheEvents(now time.Time, engine string, c tlwire.CacheEvents) {
	if e := s.engines[engine]; e != nil {
		s.prefixes.Apply(now, e.number, c)
	}
}

// SetEngineState takes in a change of an engine's state.
func (s *Scheduler) SetEngineState(now time.Time, name string, t EngineState) []tlwire.Step {
	s.last = now
	e := s.engines[name]
	if e == nil {
		return nil
	}
	e.state = t
	s.capacity = s.measure()
	switch t {
	case EngineGone:
		s.prefixes.Forget(e.number)
		s.failOver(now, e)
	case EngineLeaving:
		s.unreserve(e)
	}
	s.turnAway(now)
	s.place(now)
	return s.take()
}

// OwnerGone ends all requests of an owner whose incarnation is not above the one given.
func (s *Scheduler) OwnerGone(now time.Time, owner string, incarnation uint64) []tlwire.Step {
	s.last = now
	for _, r := range s.sorted() {
		if r.Owner == owner && r.Incarnation <= incarnation {
			s.cancel(now, r)
		}
	}
	s.place(now)
	return s.take()
}

// Tick lets time pass.
func (s *Scheduler) Tick(now time.Time) []tlwire.Step {
	s.last = now
	s.place(now)
	return s.take()
}

// NextTick returns when Tick must be called at the latest; zero means that nothing waits for time.
func (s *Scheduler) NextTick() time.Time {
	if s.waiting()+len(s.unfunded) == 0 {
		return time.Time{}
	}
	t := s.last.Add(tickEvery)
	if d := s.queue.NextStartDeadline(); !d.IsZero() {
		t = earlier(t, d.Add(1))
	}
	for _, r := range s.unfunded {
		if r.stage == StageHeld {
			t = earlier(t, r.heldUntil)
		}
	}
	if s.waiting() > 0 {
		t = earlier(t, s.nextPrefill(t))
	}
	if !t.After(s.last) {
		return s.last.Add(1)
	}
	return t
}

// nextPrefill returns when a busy prefill engine should be given its next work, at the latest t.
func (s *Scheduler) nextPrefill(t time.Time) time.Time {
	for _, e := range s.order {
		if e.prefills == 0 || e.prefills >= s.options.PrefillDepth {
			continue
		}
		if u := e.since.Add(e.work - s.options.PrefillLead); u.After(s.last) {
			t = earlier(t, u)
		}
	}
	return t
}

func earlier(t, u time.Time) time.Time {
	if u.Before(t) {
		return u
	}
	return t
}

// Summary returns what other instances are told of the pool.
func (s *Scheduler) Summary(now time.Time) tlwire.PoolSummary {
	p := tlwire.PoolSummary{Pool: s.pool.Name, Waiting: s.waiting()}
	for _, e := range s.order {
		if e.decodesToo() && e.takesWork(now) {
			p.PiecesTotal += e.memory.Total()
			p.PiecesFree += max(e.memory.Free(), 0)
		}
	}
	for _, r := range s.unfunded {
		p.PiecesFree = max(p.PiecesFree-s.need(r), 0)
	}
	p.Wait = s.wait(now, p.PiecesFree)
	return p
}

// wait predicts the wait of a new request, given the pieces that are free.
func (s *Scheduler) wait(now time.Time, free int) time.Duration {
	w := s.prefillWait(now).Seconds() + s.queue.Total(false).Bottleneck()
	if f := s.known.freed.PerSecond(now); free == 0 && f > 0 {
		w += 1 / f
	}
	return seconds(w)
}

// prefillWait predicts when the first prefill engine is idle; it is the longest wait allowed if none serves.
func (s *Scheduler) prefillWait(now time.Time) time.Duration {
	least := s.bounds.QueueWait
	for _, e := range s.order {
		if e.prefillsToo() && e.isServing() {
			least = min(least, max(e.ready(now).Sub(now), e.suspended.Sub(now)))
		}
	}
	return least
}

// Counts returns the value of every counter.
func (s *Scheduler) Counts() Counts {
	return s.counts
}

func (s *Scheduler) waiting() int {
	return s.queue.Len(false) + s.queue.Len(true)
}

func (s *Scheduler) take() []tlwire.Step {
	t := s.steps
	s.steps = nil
	return t
}

func seconds(x float64) time.Duration {
	return time.Duration(x * float64(time.Second))
}
