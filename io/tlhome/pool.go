package tlhome

import (
	"context"
	"sync"
	"time"

	"trefoillanding/core/tlsched"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlmetric"
)

// request holds the owner of a request and the last step sent to it.
type request struct {
	owner     Owner
	tries     int
	lastStep  *tlwire.Step
	lastHeard time.Time
}

// pool runs the scheduler of one pool.
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
	loops.Go(func() { p.tickLoop(ctx) })
	loops.Go(func() { p.auditLoop(ctx) })
	loops.Go(func() { p.watchEngines(ctx) })
	loops.Wait()
}

func (p *pool) submit(s tlwire.Submission) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.deps.Now()
	if r := p.requests[s.Request]; r != nil && s.Tries <= r.tries {
		p.resendLastStep(s, r, now)
		return
	}
	p.counters.Count(submitted)
	p.requests[s.Request] = &request{owner: Owner{s.Owner, s.Incarnation}, tries: s.Tries, lastHeard: now}
	p.deliver(p.scheduler.Submit(now, s))
}

// resendLastStep answers a repeated submission, since the previous step may have been lost.
func (p *pool) resendLastStep(s tlwire.Submission, r *request, now time.Time) {
	p.counters.Count(duplicate)
	r.owner, r.lastHeard = Owner{s.Owner, s.Incarnation}, now
	if r.lastStep != nil {
		p.deps.Deliver(r.owner.Name, *r.lastStep)
	}
}

func (p *pool) report(o Owner, r tlwire.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.deps.Now()
	if known := p.requests[r.Request]; known != nil {
		known.owner, known.lastHeard = o, now
	}
	steps := p.scheduler.Report(now, r)
	if isFinal(r.Kind) {
		delete(p.requests, r.Request)
	}
	p.deliver(steps)
}

func isFinal(k tlwire.ReportKind) bool {
	return k == tlwire.ReportKindFinished || k == tlwire.ReportKindCancelled
}

// deliver sends steps to their owners in the scheduler's order; the caller holds p.mu.
func (p *pool) deliver(steps []tlwire.Step) {
	for _, s := range steps {
		r := p.requests[s.Request]
		if r == nil {
			continue
		}
		s.Pool = p.config.Name
		r.lastStep = &s
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

// tickLoop calls the scheduler's Tick when its next tick is due.
func (p *pool) tickLoop(ctx context.Context) {
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
	maxTickDelay = time.Second
	minTickDelay = time.Millisecond
)

func (p *pool) untilNext() time.Duration {
	p.mu.Lock()
	next := p.scheduler.NextTick()
	p.mu.Unlock()
	if next.IsZero() {
		return maxTickDelay
	}
	return min(max(next.Sub(p.deps.Now()), minTickDelay), maxTickDelay)
}
