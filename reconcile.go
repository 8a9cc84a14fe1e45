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
	// leaseDuration is how long the lease of a pool lasts without being renewed.
	leaseDuration = time.Minute
	// leaseMargin is kept between the last order under a lease and its end.
	leaseMargin = 10 * time.Second
	// orderTimeout bounds one order.
	orderTimeout = 2 * time.Second
	// orderSettle is the wait for a former holder's last orders where engines
	// don't check numbers.
	orderSettle = 5 * time.Second
)

// newReconciler drives the engines of the pools whose home this instance is.
func (i *Instance) newReconciler() *tlreconcile.Reconciler {
	h := i.newHolder()
	return tlreconcile.New(tlreconcile.Options{
		Work: i.poolsToDrive,
		Engines: tlreconcile.Engines{
			Load:        i.engines.Load,
			Order:       i.engines.Order,
			IsOldNumber: tlengine.IsOldFencingNumber,
		},
		WeightInfo: i.platform.WeightInfo,
		Take: func(ctx context.Context, group string) (tlreconcile.Lease, error) {
			l, err := h.Take(ctx, group)
			return tlreconcile.Lease{Number: l.Fence, Holds: l.Holds, Release: l.Release}, err
		},
		Limits: tlfleet.DefaultLimits(),
		Times: tlreconcile.Times{
			Every:   2 * i.settings.Peers.Heartbeat,
			Timeout: orderTimeout,
			Settle:  orderSettle,
		},
		Now:    time.Now,
		Logger: i.log,
		Add:    i.metrics.Group("Reconcile", tlreconcile.CounterNames...).Add,
	})
}

func (i *Instance) newHolder() *tlholder.Holder {
	return tlholder.New(tlholder.Options{
		Name:        i.settings.Name,
		Incarnation: i.incarnation,
		Append:      i.platform.Append,
		Read:        i.platform.Read,
		Oldest:      oldestOf,
		Duration:    leaseDuration,
		Margin:      leaseMargin,
		Now:         time.Now,
		Nonce:       rand.Uint64,
		Add:         i.metrics.Group("Leases", tlholder.CounterNames...).Add,
	})
}

// poolsToDrive returns the pools whose home this instance is, none while it leaves.
func (i *Instance) poolsToDrive() []tlreconcile.Work {
	_, c := i.current()
	if c == nil || i.draining.Load() {
		return nil
	}
	var work []tlreconcile.Work
	for _, p := range c.Declared.Pools {
		s, ok := c.Service(p.Service)
		if !ok || !i.gossip.IsHome(p.Name, p.DataCentre) {
			continue
		}
		work = append(work, tlreconcile.Work{Pool: p, Service: s, AllEngines: c.EngineCount(p.Service)})
	}
	return work
}
