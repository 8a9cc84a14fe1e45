package tlreconcile

import (
	"context"
	"sync"
	"time"
)

// maxConcurrentPools is the maximum number of pools reconciled concurrently.
const maxConcurrentPools = 4

// Reconciler reconciles the pools whose home is this instance.
type Reconciler struct {
	o     Options
	done  chan struct{}
	pools map[string]*pool
}

// New returns a reconciler; Run starts it.
func New(o Options) *Reconciler {
	return &Reconciler{o: o, done: make(chan struct{}), pools: map[string]*pool{}}
}

// Run reconciles the pools periodically until ctx ends, and then releases their leases.
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

// Round reconciles each pool once; it must not be called while Run is running.
func (r *Reconciler) Round(ctx context.Context) {
	homes := r.o.HomePools()
	r.releaseOtherPools(ctx, homes)
	var w sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentPools)
	for _, k := range homes {
		p := r.pool(k)
		slots <- struct{}{}
		w.Go(func() {
			defer func() { <-slots }()
			p.reconcile(ctx)
		})
	}
	w.Wait()
}

func (r *Reconciler) pool(k HomePool) *pool {
	p := r.pools[k.Pool.Name]
	if p == nil {
		p = newPool(r.o, k)
		r.pools[k.Pool.Name] = p
	}
	p.home = k
	return p
}

// releaseOtherPools releases the leases of pools whose home is no longer this instance.
func (r *Reconciler) releaseOtherPools(ctx context.Context, homes []HomePool) {
	mine := map[string]bool{}
	for _, k := range homes {
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
	r.releaseOtherPools(ctx, nil)
}
