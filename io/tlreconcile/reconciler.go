package tlreconcile

import (
	"context"
	"sync"
	"time"
)

// workers is how many pools are looked at together.
const workers = 4

// Reconciler drives the pools whose home this instance is.
type Reconciler struct {
	o     Options
	done  chan struct{}
	pools map[string]*pool
}

// New returns a reconciler; Run sets it to work.
func New(o Options) *Reconciler {
	return &Reconciler{o: o, done: make(chan struct{}), pools: map[string]*pool{}}
}

// Run looks at each pool until ctx ends, and gives back its leases then.
func (r *Reconciler) Run(ctx context.Context) {
	defer close(r.done)
	t := time.NewTicker(r.o.Times.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			r.releaseAll()
			return
		case <-t.C:
			r.Round(ctx)
		}
	}
}

// Done is closed when the reconciler has ended.
func (r *Reconciler) Done() <-chan struct{} {
	return r.done
}

// Round looks once at each pool and gives the orders that it needs; it must not
// be called while Run does.
func (r *Reconciler) Round(ctx context.Context) {
	work := r.o.Work()
	r.leaveOthers(ctx, work)
	var w sync.WaitGroup
	slots := make(chan struct{}, workers)
	for _, k := range work {
		p := r.pool(k)
		slots <- struct{}{}
		w.Go(func() {
			defer func() { <-slots }()
			p.reconcile(ctx)
		})
	}
	w.Wait()
}

func (r *Reconciler) pool(k Work) *pool {
	p := r.pools[k.Pool.Name]
	if p == nil {
		p = newPool(r.o, k)
		r.pools[k.Pool.Name] = p
	}
	p.work = k
	return p
}

// leaveOthers gives back the leases of pools whose home is elsewhere now.
func (r *Reconciler) leaveOthers(ctx context.Context, work []Work) {
	mine := map[string]bool{}
	for _, k := range work {
		mine[k.Pool.Name] = true
	}
	for name, p := range r.pools {
		if !mine[name] {
			p.release(ctx)
			delete(r.pools, name)
		}
	}
}

func (r *Reconciler) releaseAll() {
	ctx, cancel := context.WithTimeout(context.Background(), r.o.Times.Timeout)
	defer cancel()
	r.leaveOthers(ctx, nil)
}
