package tlreconcile

import (
	"context"
	"sync"
	"time"

	"trefoillanding/core/tlfleet"
	"trefoillanding/core/tlwire"
)

// group is the prefix of the names of the pools' leases.
const group = "fleet/"

// pool is the reconciling of one pool; one goroutine at a time uses it.
type pool struct {
	o       Options
	work    Work
	planner *tlfleet.Planner
	lease   *Lease
	settled time.Time
	clocks  map[string]*clock
	notTill time.Time
}

func newPool(o Options, w Work) *pool {
	return &pool{
		o:       o,
		work:    w,
		planner: tlfleet.New(o.Limits),
		clocks:  map[string]*clock{},
	}
}

func (p *pool) clock(engine string) *clock {
	c := p.clocks[engine]
	if c == nil {
		c = &clock{}
		p.clocks[engine] = c
	}
	return c
}

// reconcile observes the engines and gives the orders that are due.
func (p *pool) reconcile(ctx context.Context) {
	steps := p.plan(ctx)
	if len(steps) == 0 {
		p.o.Add(countAsDeclared, 1)
		p.release(ctx)
		return
	}
	if !p.takeLease(ctx) {
		return
	}
	for _, s := range steps {
		if !p.give(ctx, s) {
			return
		}
	}
}

func (p *pool) plan(ctx context.Context) []tlfleet.EngineOrder {
	return p.planner.Plan(p.o.Now(), p.work.Pool, p.work.Service, p.observe(ctx))
}

// observe asks every engine; a report from before the last order to an engine
// does not count.
func (p *pool) observe(ctx context.Context) map[string]tlwire.LoadReport {
	ctx, cancel := context.WithTimeout(ctx, p.o.Times.Timeout)
	defer cancel()
	var mu sync.Mutex
	var w sync.WaitGroup
	reports := map[string]tlwire.LoadReport{}
	for _, e := range p.work.Pool.Engines {
		w.Go(func() {
			r, err := p.o.Engines.Load(ctx, e.Address)
			if err != nil {
				p.o.Add(countLoadFailed, 1)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if !p.clock(e.Name).isFresh(p.o.Now(), r.ReportedAt) {
				p.o.Add(countStaleReport, 1)
				return
			}
			reports[e.Name] = r
		})
	}
	w.Wait()
	return reports
}

// takeLease says whether orders may be given now: the lease is held, and where
// engines don't check numbers, the holder before has had time to end.
func (p *pool) takeLease(ctx context.Context) bool {
	if p.lease != nil && !p.lease.Holds(p.o.Times.Timeout) {
		p.o.Add(countLeaseLapsed, 1)
		p.lease = nil
	}
	if p.lease != nil {
		return !p.o.Now().Before(p.settled)
	}
	l, err := p.o.Take(ctx, group+p.work.Pool.Name)
	if err != nil {
		p.o.Add(countLeaseRefused, 1)
		return false
	}
	p.o.Add(countLeaseTaken, 1)
	p.o.Logger.WithField("Pool", p.work.Pool.Name).WithField("FencingNumber", l.Number).Info("lease taken")
	p.lease, p.settled = &l, p.o.Now()
	for _, e := range p.work.Pool.Engines {
		if !e.ChecksFencing {
			p.settled = p.o.Now().Add(p.o.Times.Settle)
		}
	}
	return p.settled.Equal(p.o.Now())
}

// give sends one order; it is false when no more may be sent.
func (p *pool) give(ctx context.Context, s tlfleet.EngineOrder) bool {
	isLoad := s.Order.Kind == tlwire.OrderKindLoadModel && s.Order.Adapter == ""
	if isLoad && !p.mayLoad(ctx, s.Order) {
		return true
	}
	if !p.lease.Holds(p.o.Times.Timeout) {
		p.o.Add(countLeaseLapsed, 1)
		p.lease = nil
		return false
	}
	s.Order.FencingNumber = p.lease.Number
	ctx, cancel := context.WithTimeout(ctx, p.o.Times.Timeout)
	defer cancel()
	err := p.o.Engines.Order(ctx, s.Engine.Address, s.Order)
	p.clock(s.Engine.Name).order(p.o.Now())
	switch {
	case err == nil:
		p.o.Add(string(s.Order.Kind), 1)
	case p.o.Engines.IsOldNumber(err):
		p.o.Add(countOldNumber, 1)
		p.lease = nil
		return false
	default:
		p.o.Add(countOrderFailed, 1)
	}
	return true
}

// mayLoad asks the weight store and keeps to this pool's share of its rate;
// adapters are small and go without.
func (p *pool) mayLoad(ctx context.Context, o tlwire.Order) bool {
	if p.o.Now().Before(p.notTill) {
		p.o.Add(countPaced, 1)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, p.o.Times.Timeout)
	defer cancel()
	w, err := p.o.WeightInfo(ctx, o.Model, o.Version)
	if err != nil {
		p.o.Add(countStoreBusy, 1)
		return false
	}
	p.notTill = p.o.Now().Add(tlfleet.LoadInterval(w, len(p.work.Pool.Engines), p.work.AllEngines))
	return true
}

func (p *pool) release(ctx context.Context) {
	if p.lease == nil {
		return
	}
	p.lease.Release(ctx)
	p.lease = nil
}
