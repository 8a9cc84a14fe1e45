package tlhome

import (
	"context"
	"sync"
	"time"

	"trefoillanding/core/tlsched"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlmetric"
)

// request is what a home remembers of a request to find its owner.
type request struct {
	owner Owner
	tries int
	last  *tlwire.Step
	heard time.Time
}

// pool drives one scheduler.
type pool struct {
	deps     Deps
	counters *tlmetric.Group
	stop     context.CancelFunc
	wake     chan struct{}

	mu        sync.Mutex
	config    tlwire.Pool
	scheduler *tlsched.Scheduler
	requests  map[string]*request
}

func newPool(d Deps, g *tlmetric.Group, p tlwire.Pool, s *tlsched.Scheduler) *pool {
	return &pool{
		deps:      d,
		counters:  g,
		config:    p,
		scheduler: s,
		requests:  map[string]*request{},
		wake:      make(chan struct{}, 1),
	}
}

func (p *pool) run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { p.tick(ctx) })
	loops.Go(func() { p.auditLoop(ctx) })
	loops.Go(func() { p.watchEngines(ctx) })
	loops.Wait()
}

func (p *pool) submit(s tlwire.Submission) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.deps.Now()
	if r := p.requests[s.Request]; r != nil && s.Tries <= r.tries {
		p.repeat(s, r, now)
		return
	}
	p.counters.Count(submitted)
	p.requests[s.Request] = &request{owner: Owner{s.Owner, s.Incarnation}, tries: s.Tries, heard: now}
	p.deliver(p.scheduler.Submit(now, s))
}

// repeat answers an owner that asks again, since a step may have been lost.
func (p *pool) repeat(s tlwire.Submission, r *request, now time.Time) {
	p.counters.Count(duplicate)
	r.owner, r.heard = Owner{s.Owner, s.Incarnation}, now
	if r.last != nil {
		p.deps.Deliver(r.owner.Name, *r.last)
	}
}

func (p *pool) report(o Owner, r tlwire.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.deps.Now()
	if known := p.requests[r.Request]; known != nil {
		known.owner, known.heard = o, now
	}
	steps := p.scheduler.Report(now, r)
	if ended(r.Kind) {
		delete(p.requests, r.Request)
	}
	p.deliver(steps)
}

func ended(k tlwire.ReportKind) bool {
	return k == tlwire.ReportKindFinished || k == tlwire.ReportKindCancelled
}

// deliver sends steps in the order in which they were decided; p.mu is held.
func (p *pool) deliver(steps []tlwire.Step) {
	for _, s := range steps {
		r := p.requests[s.Request]
		if r == nil {
			continue
		}
		s.Pool = p.config.Name
		r.last = &s
		if s.Kind == tlwire.StepKindRefuse {
			delete(p.requests, s.Request)
		}
		p.deps.Deliver(r.owner.Name, s)
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *pool) configure(c tlwire.Pool, s tlwire.Service, o []tlwire.Organisation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = c
	p.deliver(p.scheduler.Configure(p.deps.Now(), c, s, o))
}

func (p *pool) isBusy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.requests) > 0
}

func (p *pool) engines() []tlwire.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.config.Engines
}

func (p *pool) counts() tlsched.Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Counts()
}

func (p *pool) summary() tlwire.PoolSummary {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Summary(p.deps.Now())
}

// tick calls the scheduler when it asked for it.
func (p *pool) tick(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
			p.mu.Lock()
			p.deliver(p.scheduler.Tick(p.deps.Now()))
			p.mu.Unlock()
		}
		timer.Reset(p.untilNext())
	}
}

const (
	idleTick = time.Second
	minTick  = time.Millisecond
)

func (p *pool) untilNext() time.Duration {
	p.mu.Lock()
	next := p.scheduler.NextTick()
	p.mu.Unlock()
	if next.IsZero() {
		return idleTick
	}
	return min(max(next.Sub(p.deps.Now()), minTick), idleTick)
}
