package tlreconcile

import (
	"context"
	"sync"
	"time"

	"trefoillanding/core/tlfleet"
	"trefoillanding/core/tlwire"
)

// leasePrefix is the prefix of the names of the pools' leases.
const leasePrefix = "fleet/"

// pool reconciles one pool; it is used by one goroutine at a time.
type pool struct {
	o          Options
	home       HomePool
	planner    *tlfleet.Planner
	lease      *Lease
	settledAt  time.Time
	clocks     map[string]*clock
	nextLoadAt time.Time
}

func newPool(o Options, h HomePool) *pool {
	return &pool{
		o:       o,
		home:    h,
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

// reconcile observes the engines and sends the orders that are due.
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
		if !p.sendOrder(ctx, s) {
			return
		}
	}
}

func (p *pool) plan(ctx context.Context) []tlfleet.EngineOrder {
	return p.planner.Plan(p.o.Now(), p.home.Pool, p.home.Service, p.observe(ctx))
}

// observe asks every engine for its report; a report from before the last order to
// the engine is left out.
func (p *pool) observe(ctx context.Context) map[string]tlwire.LoadReport {
	ctx, cancel := context.WithTimeout(ctx, p.o.Times.Timeout)
	defer cancel()
	var mu sync.Mutex
	var w sync.WaitGroup
	reports := map[string]tlwire.LoadReport{}
	for _, e := range p.home.Pool.Engines {
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

// takeLease takes the lease if it is not held and says whether orders may be sent
// now: if engines don't check fencing numbers, only after the settle delay, so that
// the last orders of the previous holder have arrived.
func (p *pool) takeLease(ctx context.Context) bool {
	if p.lease != nil && !p.lease.ValidFor(p.o.Times.Timeout) {
		p.o.Add(countLeaseLapsed, 1)
		p.lease = nil
	}
	if p.lease != nil {
		return !p.o.Now().Before(p.settledAt)
	}
	l, err := p.o.TakeLease(ctx, leasePrefix+p.home.Pool.Name)
	if err != nil {
		p.o.Add(countLeaseNotTaken, 1)
		return false
	}
	p.o.Add(countLeaseTaken, 1)
	p.o.Logger.WithField("Pool", p.home.Pool.Name).WithField("FencingNumber", l.FencingNumber).Info("lease taken")
	p.lease, p.settledAt = &l, p.o.Now()
	for _, e := range p.home.Pool.Engines {
		if !e.ChecksFencing {
			p.settledAt = p.o.Now().Add(p.o.Times.SettleDelay)
		}
	}
	return p.settledAt.Equal(p.o.Now())
}

// sendOrder sends one order and returns whether more may be sent.
func (p *pool) sendOrder(ctx context.Context, s tlfleet.EngineOrder) bool {
	isLoad := s.Order.Kind == tlwire.OrderKindLoadModel && s.Order.Adapter == ""
	if isLoad && !p.mayLoad(ctx, s.Order) {
		return true
	}
	if !p.lease.ValidFor(p.o.Times.Timeout) {
		p.o.Add(countLeaseLapsed, 1)
		p.lease = nil
		return false
	}
	s.Order.FencingNumber = p.lease.FencingNumber
	ctx, cancel := context.WithTimeout(ctx, p.o.Times.Timeout)
	defer cancel()
	err := p.o.Engines.Order(ctx, s.Engine.Address, s.Order)
	p.clock(s.Engine.Name).noteOrder(p.o.Now())
	switch {
	case err == nil:
		p.o.Add(string(s.Order.Kind), 1)
	case p.o.Engines.IsOldFencingNumber(err):
		p.o.Add(countOldFencingNumber, 1)
		p.lease = nil
		return false
	default:
		p.o.Add(countOrderFailed, 1)
	}
	return true
}

// mayLoad says whether a load may start now: the weight store answers and this
// pool's share of the store's rate allows it. Adapters are small and are loaded
// without this check.
func (p *pool) mayLoad(ctx context.Context, o tlwire.Order) bool {
	if p.o.Now().Before(p.nextLoadAt) {
		p.o.Add(countLoadPaced, 1)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, p.o.Times.Timeout)
	defer cancel()
	w, err := p.o.WeightInfo(ctx, o.Model, o.Version)
	if err != nil {
		p.o.Add(countWeightStoreBusy, 1)
		return false
	}
	p.nextLoadAt = p.o.Now().Add(tlfleet.LoadInterval(w, len(p.home.Pool.Engines), p.home.ServiceEngineCount))
	return true
}

func (p *pool) release(ctx context.Context) {
	if p.lease == nil {
		return
	}
	p.lease.Release(ctx)
	p.lease = nil
}
