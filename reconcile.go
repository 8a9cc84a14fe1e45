package trefoillanding

import (
	"context"
	"math/rand/v2"
	"time"

	"trefoillanding/core/tlfleet"
	"trefoillanding/io/tlengine"
	"trefoillanding/io/tlholder"
	"trefoillanding/io/tlreconcile"
)

const (
	// leaseDuration is how long the lease of a pool lasts unless renewed.
	leaseDuration = time.Minute
	// leaseMargin is kept between the last order under a lease and its end.
	leaseMargin = 10 * time.Second
	// orderTimeout bounds one order to an engine.
	orderTimeout = 2 * time.Second
	// orderSettleDelay is how long a new lease holder waits for the previous holder's
	// last orders to arrive at engines that don't check fencing numbers.
	orderSettleDelay = 5 * time.Second
)

// newReconciler returns the reconciler that brings the engines of the pools whose home
// this instance is to the declared state.
func (i *Instance) newReconciler() *tlreconcile.Reconciler {
	h := i.newHolder()
	return tlreconcile.New(tlreconcile.Options{
		HomePools: i.poolsToReconcile,
		Engines: tlreconcile.Engines{
			Load:               i.engines.Load,
			Order:              i.engines.Order,
			IsOldFencingNumber: tlengine.IsOldFencingNumber,
		},
		WeightInfo: i.platform.WeightInfo,
		TakeLease: func(ctx context.Context, group string) (tlreconcile.Lease, error) {
			l, err := h.Take(ctx, group)
			return tlreconcile.Lease{FencingNumber: l.Fence, ValidFor: l.ValidFor, Release: l.Release}, err
		},
		Limits: tlfleet.DefaultLimits(),
		Times: tlreconcile.Times{
			Interval:    2 * i.settings.Peers.Heartbeat,
			Timeout:     orderTimeout,
			SettleDelay: orderSettleDelay,
		},
		Now:    time.Now,
		Logger: i.log,
		Add:    i.metrics.Group("Reconcile", tlreconcile.CounterNames...).Add,
	})
}

func (i *Instance) newHolder() *tlholder.Holder {
	return tlholder.New(tlholder.Options{
		Name:         i.settings.Name,
		Incarnation:  i.incarnation,
		Append:       i.platform.Append,
		Read:         i.platform.Read,
		OldestOffset: oldestOffset,
		Duration:     leaseDuration,
		Margin:       leaseMargin,
		Now:          time.Now,
		Nonce:        rand.Uint64,
		Add:          i.metrics.Group("Leases", tlholder.CounterNames...).Add,
	})
}

// poolsToReconcile returns the pools whose home this instance is, none while it drains.
func (i *Instance) poolsToReconcile() []tlreconcile.HomePool {
	_, c := i.current()
	if c == nil || i.draining.Load() {
		return nil
	}
	var work []tlreconcile.HomePool
	for _, p := range c.Declared.Pools {
		s, ok := c.Service(p.Service)
		if !ok || !i.gossip.IsHome(p.Name, p.DataCentre) {
			continue
		}
		work = append(work, tlreconcile.HomePool{Pool: p, Service: s, ServiceEngineCount: c.EngineCount(p.Service)})
	}
	return work
}
