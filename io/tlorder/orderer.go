package tlorder

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlrole"
)

const (
	// planEvery is the time between plans.
	planEvery = 500 * time.Millisecond
	// sendWithin is how long after its record a batch of orders may be sent.
	sendWithin = time.Second
	// leaseMargin is kept between the last order of one holder and the first of the next.
	leaseMargin = 700 * time.Millisecond
	// callWithin bounds one call to an engine or the log.
	callWithin = 800 * time.Millisecond
	// useWeight is the weight of a new look in the average use of prefill engines.
	useWeight = 0.15
	// awayMargin is added to the time of a change of role until the list shows it.
	awayMargin = 2 * time.Second
	// fenceRetry is the pause after a number could not be had: calls to the log are priced.
	fenceRetry = 3 * time.Second
	// forgetAfter is when an order that was not seen to be carried out is given up.
	forgetAfter = 20 * time.Second
)

// Options is what an orderer needs from its surroundings.
type Options struct {
	// Holder is this instance's name.
	Holder string
	// Lease is the least time between orders of different holders.
	Lease time.Duration
	// HolderLog is the log of holders.
	HolderLog HolderLog
	// Services returns the services for which this instance gives orders.
	Services func() []string
	// Roles returns what a plan is made from.
	Roles func(service string) tlrole.State
	// Away notes that an engine changes its role until a time at most.
	Away func(service, engine string, until time.Time)
	// RoleChange returns how long an engine is away while it changes its role.
	RoleChange func(service string) time.Duration
	// Load asks an engine for its load.
	Load func(ctx context.Context, e tlendpoint.Endpoint) (tlendpoint.Load, error)
	// Order gives an engine an order, and returns an error unless it is carried out or holds.
	Order func(ctx context.Context, e tlendpoint.Endpoint, r tlendpoint.Role, fence uint64, orders int64) error
	// Now is a clock that counts the time that the instance's host was suspended.
	Now func() time.Time
	// Logger takes each order.
	Logger *logrus.Entry
	// Count raises a counter of CounterNames.
	Count func(reason string)
}

// The counters of an orderer.
const (
	Ordered     = "Ordered"
	OrderFailed = "OrderFailed"
	FenceFailed = "FenceFailed"
	SentTooLate = "SentTooLate"
)

// CounterNames lists the counters of an orderer.
var CounterNames = []string{Ordered, OrderFailed, FenceFailed, SentTooLate}

// moved is an order that was given.
type moved struct {
	role tlendpoint.Role
	at   time.Time
}

// listing is the number of a service's engines since a time.
type listing struct {
	engines int
	since   time.Time
}

// Orderer plans roles and gives the orders.
type Orderer struct {
	o     Options
	fence fence
	use   map[string]float64
	last  map[string]time.Time
	given map[string]moved
	// listed holds, for each service, how many engines were listed and since when.
	listed map[string]listing
	// retryAt is when a number may be asked for again.
	retryAt time.Time
	done    chan struct{}
}

// New returns an orderer.
func New(o Options) *Orderer {
	return &Orderer{
		o:     o,
		fence: fence{log: o.HolderLog, holder: o.Holder, lease: o.Lease, now: o.Now, seen: map[string]sighting{}},
		use:   map[string]float64{},
		last:  map[string]time.Time{},
		given: map[string]moved{},

		listed: map[string]listing{},

		done: make(chan struct{}),
	}
}

// Done is closed when the orderer has ended.
func (o *Orderer) Done() <-chan struct{} {
	return o.done
}

// Run plans until ctx ends.
func (o *Orderer) Run(ctx context.Context) {
	defer close(o.done)
	t := time.NewTicker(planEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, service := range o.o.Services() {
			o.plan(ctx, service)
		}
	}
}

func (o *Orderer) plan(ctx context.Context, service string) {
	s := o.state(service)
	moves := tlrole.Plan(tlrole.DefaultOptions(), s)
	if len(moves) == 0 || o.o.Now().Before(o.retryAt) {
		return
	}
	call, stop := context.WithTimeout(ctx, callWithin)
	defer stop()
	number, err := o.fence.take(call, service)
	if err != nil {
		o.o.Count(FenceFailed)
		o.retryAt = o.o.Now().Add(fenceRetry)
		o.o.Logger.WithFields(logrus.Fields{"Service": service, "Cause": err.Error()}).Info("no fencing number")
		return
	}
	o.give(ctx, service, moves, number)
}

// state completes what a plan is made from.
func (o *Orderer) state(service string) tlrole.State {
	now := o.o.Now()
	s := o.o.Roles(service)
	o.use[service] += useWeight * (s.PrefillUtilisation - o.use[service])
	s.PrefillUtilisation = o.use[service]
	s.SinceMove = now.Sub(o.last[service])
	if l := o.listed[service]; l.engines != len(s.Engines) {
		o.listed[service] = listing{len(s.Engines), now}
	}
	s.SinceChange = now.Sub(o.listed[service].since)
	for i := range s.Engines {
		e := &s.Engines[i]
		m, ok := o.given[e.ID]
		e.SinceOrder = forgetAfter
		if !ok {
			continue
		}
		e.SinceOrder = now.Sub(m.at)
		e.IsMoving = e.Role != m.role && e.SinceOrder < forgetAfter
	}
	return s
}

// give sends a batch of orders at once.
func (o *Orderer) give(ctx context.Context, service string, moves []tlrole.Move, number uint64) {
	began := o.o.Now()
	o.last[service] = began
	away := began.Add(o.o.RoleChange(service) + awayMargin)
	var sending sync.WaitGroup
	for _, m := range moves {
		o.given[m.Engine.ID] = moved{m.Role, began}
		o.o.Away(service, m.Engine.ID, time.Now().Add(away.Sub(began)))
		sending.Go(func() { o.send(ctx, service, m, number, began) })
	}
	sending.Wait()
}

func (o *Orderer) send(ctx context.Context, service string, m tlrole.Move, number uint64, began time.Time) {
	ctx, stop := context.WithTimeout(ctx, callWithin)
	defer stop()
	l := o.o.Logger.WithFields(logrus.Fields{
		"Service":  service,
		"Endpoint": m.Engine.ID,
		"Role":     m.Role.String(),
		"Fence":    number,
	})
	load, err := o.o.Load(ctx, m.Engine)
	if err != nil {
		o.o.Count(OrderFailed)
		l.WithField("Cause", err.Error()).Info("order not given: no load")
		return
	}
	if o.o.Now().Sub(began) > sendWithin {
		o.o.Count(SentTooLate)
		l.Info("order not given: too late")
		return
	}
	if err := o.o.Order(ctx, m.Engine, m.Role, number, load.AcceptedOrders); err != nil {
		o.o.Count(OrderFailed)
		l.WithField("Cause", err.Error()).Info("order failed")
		return
	}
	o.o.Count(Ordered)
	l.Info("order given")
}
