package tlhome

import (
	"context"
	"math/rand/v2"
	"sync"

	"trefoillanding/core/tlsched"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlmetric"
)

// Homes holds the pools whose home this instance is.
type Homes struct {
	deps     Deps
	counters *tlmetric.Group
	ctx      context.Context
	stop     context.CancelFunc
	running  sync.WaitGroup
	done     chan struct{}

	mu     sync.Mutex
	config tlwire.Config
	pools  map[string]*pool
	// closed holds the counts of pools that are no longer here.
	closed tlsched.Counts
}

// New returns homes without any pool; Close ends them.
func New(d Deps) *Homes {
	ctx, stop := context.WithCancel(context.Background())
	h := &Homes{
		deps:     d,
		counters: d.Metrics.Group("Home", counterNames...),
		ctx:      ctx,
		stop:     stop,
		done:     make(chan struct{}),
		pools:    map[string]*pool{},
	}
	d.Metrics.Gauge("Scheduler", func() any { return h.Counts() })
	return h
}

// Configure makes this instance the home of those pools of c that mine accepts; a
// pool that it loses stays open until the last request it knows has ended.
func (h *Homes) Configure(c tlwire.Config, mine func(tlwire.Pool) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx.Err() != nil {
		return
	}
	h.config = c
	wanted := map[string]bool{}
	for _, p := range c.Pools {
		s, ok := serviceOf(c, p)
		if !ok || !mine(p) {
			continue
		}
		wanted[p.Name] = true
		h.open(p, s, c.Organisations)
	}
	h.closeOthers(wanted)
}

func (h *Homes) open(p tlwire.Pool, s tlwire.Service, o []tlwire.Organisation) {
	if known := h.pools[p.Name]; known != nil {
		known.configure(p, s, o)
		return
	}
	random := rand.New(rand.NewPCG(h.deps.Seed, uint64(len(h.pools))))
	n := newPool(h.deps, h.counters, p, tlsched.New(p, s, o, random))
	h.pools[p.Name] = n
	h.counters.Count(homeTaken)
	ctx, stop := context.WithCancel(h.ctx)
	n.stop = stop
	h.running.Go(func() { n.run(ctx) })
}

func (h *Homes) closeOthers(wanted map[string]bool) {
	for name, p := range h.pools {
		if wanted[name] || p.isBusy() {
			continue
		}
		p.stop()
		p.counts().Each(func(c tlsched.Counter, n uint64) { h.closed[c] += n })
		delete(h.pools, name)
		h.counters.Count(homeLeft)
	}
}

// Submit places a request in the queue of its pool; the error is NoHome.
//
// A pool that is not open here yet is opened: whoever submits takes this
// instance for the home and may have learnt of the last one's end earlier.
func (h *Homes) Submit(s tlwire.Submission) error {
	p := h.findOrOpen(s.Pool)
	if p == nil {
		h.counters.Count(unknownPool)
		return tlverdict.New(tlverdict.NoHome, "this instance is not the home of pool %s", s.Pool)
	}
	p.submit(s)
	return nil
}

// Report takes what owner o tells of a request; a report for a pool elsewhere is NoHome.
func (h *Homes) Report(o Owner, r tlwire.Report) error {
	p := h.find(r.Pool)
	if p == nil {
		h.counters.Count(unknownPool)
		return tlverdict.New(tlverdict.NoHome, "this instance is not the home of pool %s", r.Pool)
	}
	p.report(o, r)
	return nil
}

// Summaries returns what other instances are told of the pools here.
func (h *Homes) Summaries() []tlwire.PoolSummary {
	h.mu.Lock()
	pools := make([]*pool, 0, len(h.pools))
	for _, p := range h.pools {
		pools = append(pools, p)
	}
	h.mu.Unlock()
	out := make([]tlwire.PoolSummary, 0, len(pools))
	for _, p := range pools {
		out = append(out, p.summary())
	}
	return out
}

// Engines returns the engines of the pools here.
func (h *Homes) Engines() []tlwire.Engine {
	h.mu.Lock()
	defer h.mu.Unlock()
	var engines []tlwire.Engine
	for _, p := range h.pools {
		engines = append(engines, p.engines()...)
	}
	return engines
}

// Counts returns what the schedulers here have counted since this instance began.
func (h *Homes) Counts() map[string]uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := map[string]uint64{}
	h.closed.Each(func(c tlsched.Counter, n uint64) { all[c.String()] += n })
	for _, p := range h.pools {
		p.counts().Each(func(c tlsched.Counter, n uint64) { all[c.String()] += n })
	}
	return all
}

// Close ends all pools and waits for their loops.
func (h *Homes) Close() {
	h.mu.Lock()
	h.stop()
	h.mu.Unlock()
	h.running.Wait()
	close(h.done)
}

// Done is closed once everything here has ended.
func (h *Homes) Done() <-chan struct{} {
	return h.done
}

func (h *Homes) find(name string) *pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pools[name]
}

func (h *Homes) findOrOpen(name string) *pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pools[name] != nil || h.ctx.Err() != nil {
		return h.pools[name]
	}
	for _, p := range h.config.Pools {
		s, ok := serviceOf(h.config, p)
		if ok && p.Name == name {
			h.open(p, s, h.config.Organisations)
		}
	}
	return h.pools[name]
}

func serviceOf(c tlwire.Config, p tlwire.Pool) (tlwire.Service, bool) {
	for _, s := range c.Services {
		if s.Name == p.Service {
			return s, true
		}
	}
	return tlwire.Service{}, false
}
