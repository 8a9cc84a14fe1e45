package trefoillanding

import (
	"context"
	"math/rand/v2"
	"time"

	"trefoillanding/core/tlfleet"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlengine"
	"trefoillanding/io/tlholder"
	"trefoillanding/io/tlreconcile"
)

const (
	leaseLasts     = time.Minute
	reconcileEvery = 5 * time.Second
	orderTimeout   = 2 * time.Second
	// orderSettle is how long orders of a former holder may be on their way.
	orderSettle = 5 * time.Second
)

func (i *Instance) holderOptions() tlholder.Options {
	p := i.platform
	return tlholder.Options{
		Log: tlholder.Log{
			Append: func(ctx context.Context, record []byte) (uint64, error) {
				return p.Append(ctx, tlholder.Stream, [][]byte{record})
			},
			Read: func(ctx context.Context, from uint64, limit int, wait time.Duration) (tlwire.ReadResult, error) {
				return p.Read(ctx, tlholder.Stream, from, limit, wait)
			},
			Oldest:      oldestOf,
			NotAppended: isNotAppended,
		},
		Instance:    i.settings.Name,
		Incarnation: i.incarnation,
		Duration:    leaseLasts,
		Nonce:       rand.Uint64,
		Now:         time.Now,
	}
}

func (i *Instance) reconcileOptions() tlreconcile.Options {
	h := tlholder.New(i.holderOptions())
	return tlreconcile.Options{
		Work: i.fleetWork,
		Engines: tlreconcile.Engines{
			Load:        i.engines.Load,
			Order:       i.engines.Order,
			IsOldNumber: tlengine.IsOldNumber,
		},
		Weights: i.platform.WeightInfo,
		Take: func(ctx context.Context, group string) (tlreconcile.Lease, error) {
			l, err := h.Take(ctx, group)
			return tlreconcile.Lease{Number: l.Number, Holds: l.Holds, Release: l.Release}, err
		},
		Limits: tlfleet.DefaultLimits(),
		Times: tlreconcile.Times{
			Every:   reconcileEvery,
			Timeout: orderTimeout,
			Settle:  orderSettle,
		},
		Now:    time.Now,
		Logger: i.log,
		Add:    i.metrics.Group("Fleet", tlreconcile.CounterNames...).Add,
	}
}

// fleetWork returns the pools whose home this instance is, with all engines of their services counted.
func (i *Instance) fleetWork() []tlreconcile.Work {
	_, c := i.current()
	if c == nil {
		return nil
	}
	all := map[string]int{}
	for _, p := range c.Declared.Pools {
		all[p.Service] += len(p.Engines)
	}
	var work []tlreconcile.Work
	for _, p := range c.Declared.Pools {
		s, ok := c.Service(p.Service)
		if ok && i.homeOf(p) == i.settings.Name && !i.draining.Load() {
			work = append(work, tlreconcile.Work{Pool: p, Service: s, AllEngines: all[p.Service]})
		}
	}
	return work
}
