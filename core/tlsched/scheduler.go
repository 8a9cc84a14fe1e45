package tlsched

import (
	"math/rand/v2"
	"time"

	"trefoillanding/core/tlbudget"
	"trefoillanding/core/tlprefix"
	"trefoillanding/core/tlqueue"
	"trefoillanding/core/tlwire"
)

// Scheduler holds the in-memory state of one pool and answers each event with the
// steps that owners are to take. It is not safe for concurrent use.
type Scheduler struct {
	pool           tlwire.Pool
	bounds         tlwire.Bounds
	targets        tlwire.Targets
	weights        tlwire.Weights
	options        Options
	random         *rand.Rand
	engines        map[string]*engine
	engineList     []*engine
	capacity       capacity
	requests       map[string]*request
	queue          *tlqueue.Queue[*request]
	shares         *shares
	awaitingMemory []*request
	blocked        []*tlqueue.Item[*request]
	prefixes       *tlprefix.Index
	budget         *tlbudget.Budget
	estimates      estimates
	lastEvent      time.Time
	steps          []tlwire.Step
	counts         Counts
}

// maxTickInterval is the longest time between ticks while a request waits.
const maxTickInterval = 100 * time.Millisecond

// New returns a scheduler for a service's pool with the default options.
func New(p tlwire.Pool, s tlwire.Service, o []tlwire.Organisation, r *rand.Rand) *Scheduler {
	return NewWithOptions(DefaultOptions(), p, s, o, r)
}

// NewWithOptions returns a scheduler for a service's pool with the given options.
func NewWithOptions(o Options, p tlwire.Pool, s tlwire.Service, g []tlwire.Organisation, r *rand.Rand) *Scheduler {
	n := &Scheduler{
		options:   o,
		random:    r,
		engines:   make(map[string]*engine),
		requests:  make(map[string]*request),
		shares:    newShares(organisationWeightsOf(g)),
		queue:     tlqueue.New[*request](organisationWeightsOf(g), o.LateShare),
		prefixes:  tlprefix.New(0),
		estimates: newEstimates(o.AssumedAnswer),
	}
	n.configure(p, s)
	n.budget = tlbudget.New(n.bounds.RetryShare, o.RetryBurst)
	return n
}

// Submit queues a request; the steps returned may already refuse it.
func (s *Scheduler) Submit(now time.Time, q tlwire.Submission) []tlwire.Step {
	s.lastEvent = now
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
	s.setItem(now, r, r.Due)
	if s.shouldSpill(now, r) {
		s.spill(r)
		return s.takeSteps()
	}
	s.estimates.submitRate.Add(now, 1)
	if s.admit(now, r) {
		s.requests[r.Request] = r
		s.queue.Push(now, &r.item)
	}
	s.place(now)
	return s.takeSteps()
}

// Report handles an owner's report on one of its requests.
func (s *Scheduler) Report(now time.Time, p tlwire.Report) []tlwire.Step {
	s.lastEvent = now
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
	return s.takeSteps()
}

// UpdateLoad applies an engine's load report, which may be out of date.
func (s *Scheduler) UpdateLoad(now time.Time, l tlwire.LoadReport) []tlwire.Step {
	s.lastEvent = now
	e := s.engines[l.Name]
	if e == nil {
		return nil
	}
	e.role = l.Role
	e.memory.Resize(l.PiecesTotal)
	e.history.record(now, e.importedPieces)
	e.memory.SetUsedByOthers(l.PiecesTotal - l.PiecesFree - e.history.max())
	if l.Draining && !e.draining {
		s.releaseReservations(e)
	}
	e.draining = l.Draining
	s.capacity = s.sumCapacity()
	s.place(now)
	return s.takeSteps()
}

// ApplyCacheEvents applies a batch of an engine's cache events, which may be late or have gaps.
func (s *Scheduler) ApplyCacheEvents(now time.Time, engine string, c tlwire.CacheEvents) {
	if e := s.engines[engine]; e != nil {
		s.prefixes.Apply(now, e.prefixNumber, c)
	}
}

// SetEngineState applies a change of an engine's state.
func (s *Scheduler) SetEngineState(now time.Time, name string, t EngineState) []tlwire.Step {
	s.lastEvent = now
	e := s.engines[name]
	if e == nil {
		return nil
	}
	e.state = t
	s.capacity = s.sumCapacity()
	switch t {
	case EngineGone:
		s.prefixes.Forget(e.prefixNumber)
		s.failOver(now, e)
	case EngineLeaving:
		s.releaseReservations(e)
	}
	s.refuseWaiting(now)
	s.place(now)
	return s.takeSteps()
}

// OwnerGone cancels all requests of an owner that have the given incarnation or an earlier one.
func (s *Scheduler) OwnerGone(now time.Time, owner string, incarnation uint64) []tlwire.Step {
	s.lastEvent = now
	for _, r := range s.sorted() {
		if r.Owner == owner && r.Incarnation <= incarnation {
			s.cancel(now, r)
		}
	}
	s.place(now)
	return s.takeSteps()
}

// Tick does the work that is due at the given time.
func (s *Scheduler) Tick(now time.Time) []tlwire.Step {
	s.lastEvent = now
	s.place(now)
	return s.takeSteps()
}

// NextTick returns the latest time for the next call of Tick, or zero if nothing waits.
func (s *Scheduler) NextTick() time.Time {
	if s.waiting()+len(s.awaitingMemory) == 0 {
		return time.Time{}
	}
	t := s.lastEvent.Add(maxTickInterval)
	if d := s.queue.NextStartDeadline(); !d.IsZero() {
		t = earlier(t, d.Add(1))
	}
	for _, r := range s.awaitingMemory {
		if r.stage == StageHeld {
			t = earlier(t, r.heldUntil)
		}
	}
	if s.waiting() > 0 {
		t = earlier(t, s.nextPrefill(t))
	}
	if !t.After(s.lastEvent) {
		return s.lastEvent.Add(1)
	}
	return t
}

// nextPrefill returns when the first busy prefill engine should be given its next prefill, at the latest t.
func (s *Scheduler) nextPrefill(t time.Time) time.Time {
	for _, e := range s.engineList {
		if e.queuedPrefills == 0 || e.queuedPrefills >= s.options.PrefillDepth {
			continue
		}
		if u := e.busySince.Add(e.prefillWork - s.options.PrefillLead); u.After(s.lastEvent) {
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

// Summary returns the state of the pool that other instances are told.
func (s *Scheduler) Summary(now time.Time) tlwire.PoolSummary {
	p := tlwire.PoolSummary{Pool: s.pool.Name, Waiting: s.waiting()}
	for _, e := range s.engineList {
		if e.canDecode() && e.takesWork(now) {
			p.PiecesTotal += e.memory.Total()
			p.PiecesFree += max(e.memory.Free(), 0)
		}
	}
	for _, r := range s.awaitingMemory {
		p.PiecesFree = max(p.PiecesFree-s.neededPieces(r), 0)
	}
	p.Wait = s.wait(now, p.PiecesFree)
	return p
}

// wait predicts the wait of a new request, given the number of free pieces.
func (s *Scheduler) wait(now time.Time, free int) time.Duration {
	w := s.prefillWait(now).Seconds() + s.queue.Total(false).Bottleneck()
	if f := s.estimates.freedRate.PerSecond(now); free == 0 && f > 0 {
		w += 1 / f
	}
	return seconds(w)
}

// prefillWait predicts the time until the first prefill engine is idle, at most the
// allowed queue wait, which it also returns when no prefill engine serves.
func (s *Scheduler) prefillWait(now time.Time) time.Duration {
	least := s.bounds.QueueWait
	for _, e := range s.engineList {
		if e.canPrefill() && e.isServing() {
			least = min(least, max(e.readyAt(now).Sub(now), e.suspendedUntil.Sub(now)))
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

func (s *Scheduler) takeSteps() []tlwire.Step {
	t := s.steps
	s.steps = nil
	return t
}

func seconds(x float64) time.Duration {
	return time.Duration(x * float64(time.Second))
}
