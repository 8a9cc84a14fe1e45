package tlorder

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlrole"
)

const (
	// planInterval is the time between plans.
	planInterval = 500 * time.Millisecond
	// restoreCheckInterval is the time between checks whether versions have lost their last decode
	// engines, since their callers have a few seconds.
	restoreCheckInterval = 100 * time.Millisecond
	// batchMaxAge is how long after its fencing record was appended a batch of orders may be sent.
	batchMaxAge = time.Second
	// leaseMargin is the least time between the last order of one holder and the first of the next, beyond the lease and batchMaxAge.
	leaseMargin = 700 * time.Millisecond
	// callTimeout bounds one call to an engine or the log.
	callTimeout = 800 * time.Millisecond
	// readUseWeight is the weight of a new sample in the moving average of the use of prefill engines.
	readUseWeight = 0.15
	// roleChangeMargin is added to the duration of a role change, until the list of engines shows it.
	roleChangeMargin = 2 * time.Second
	// fenceRetryDelay is the pause after a failed attempt to get a fencing number, since calls to the log are charged for.
	fenceRetryDelay = 3 * time.Second
	// endCheckTimeout bounds the check whether engines have ended, and endCheckInterval is the
	// least time between two for a service: a connection may hold a slot at an engine that lives.
	endCheckTimeout  = 400 * time.Millisecond
	endCheckInterval = 300 * time.Millisecond
	// orderExpiry is how long after an order its engine counts as changing its role if it has not been listed in the new role.
	orderExpiry = 20 * time.Second
)

// Options holds what a Controller depends on.
type Options struct {
	// Holder is the name of this instance.
	Holder string
	// Lease is the least time between orders of different holders.
	Lease time.Duration
	// HolderLog records which instance gives orders.
	HolderLog HolderLog
	// Services returns the services for which this instance gives orders.
	Services func() []string
	// Roles returns the state from which the roles of a service are planned.
	Roles func(service string) tlrole.State
	// LacksDecoder reports whether requests wait for a version of a service of which no decode engine is known to work.
	LacksDecoder func(service string) bool
	// MarkChangingRole records that an engine changes to a role and is unavailable until the given time at the latest.
	MarkChangingRole func(service, engine string, to tlendpoint.Role, until time.Time)
	// MarkKeepingRole records that an engine does not change its role after all.
	MarkKeepingRole func(service, engine string)
	// HasEnded reports whether an engine refuses the connections of several instances.
	HasEnded func(ctx context.Context, e tlendpoint.Endpoint) bool
	// RoleChangeTime returns how long an engine is unavailable while it changes its role.
	RoleChangeTime func(service string) time.Duration
	// Load asks an engine for its load.
	Load func(ctx context.Context, e tlendpoint.Endpoint) (tlendpoint.Load, error)
	// Order sends an engine an order to take a role, and returns an error unless the engine has
	// carried it out or accepted it: ErrRefused if it never will, any other if it may.
	Order func(ctx context.Context, e tlendpoint.Endpoint, r tlendpoint.Role, fence uint64, orders int64) error
	// Now returns the time of a clock that includes the time during which the host was suspended.
	Now func() time.Time
	// Logger receives the result of each order.
	Logger *logrus.Entry
	// Count adds one to a counter of CounterNames.
	Count func(reason string)
}

// The counters of a Controller.
const (
	Ordered     = "Ordered"
	OrderFailed = "OrderFailed"
	FenceFailed = "FenceFailed"
	SentTooLate = "SentTooLate"
)

// CounterNames lists the counters of a Controller.
var CounterNames = []string{Ordered, OrderFailed, FenceFailed, SentTooLate}

// ErrRefused is returned for an order that the engine has refused.
var ErrRefused = errors.New("the engine refused the order")

// givenOrder is the role ordered for an engine and when, and whether the engine has answered.
type givenOrder struct {
	role       tlendpoint.Role
	at         time.Time
	isAnswered bool
}

// engineCount is a number of listed engines, since when it has been the same, and when it last rose.
type engineCount struct {
	engines       int
	since, roseAt time.Time
}

// Controller plans the roles of engines and sends the orders.
type Controller struct {
	o           Options
	fence       fence
	readUse     map[string]float64
	lastBatch   map[string]time.Time
	givenOrders map[string]givenOrder
	// engineCounts holds how many engines of each service are listed, and since when.
	engineCounts map[string]engineCount
	// undecoded holds the versions of each service that were last logged as without a decode engine.
	undecoded map[string][]string
	// endChecks holds the last check of each service whether engines have ended.
	endChecks map[string]endCheck
	// homeOf holds the services with engines that were planned in the last round.
	homeOf map[string]bool
	// fenceRetryAt is the earliest time to ask for a fencing number again.
	fenceRetryAt time.Time
	done         chan struct{}
}

// New returns a Controller.
func New(o Options) *Controller {
	return &Controller{
		o:           o,
		fence:       fence{log: o.HolderLog, holder: o.Holder, lease: o.Lease, now: o.Now, seen: map[string]sighting{}},
		readUse:     map[string]float64{},
		lastBatch:   map[string]time.Time{},
		givenOrders: map[string]givenOrder{},

		engineCounts: map[string]engineCount{},
		undecoded:    map[string][]string{},
		endChecks:    map[string]endCheck{},
		homeOf:       map[string]bool{},

		done: make(chan struct{}),
	}
}

// Done returns a channel that is closed when Run has ended.
func (o *Controller) Done() <-chan struct{} {
	return o.done
}

// Run plans every planInterval until ctx ends.
func (o *Controller) Run(ctx context.Context) {
	defer close(o.done)
	t := time.NewTicker(restoreCheckInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if n%int(planInterval/restoreCheckInterval) == 0 {
			o.planAll(ctx)
		} else {
			o.restoreAll(ctx)
		}
	}
}

// restoreAll plans the services of which versions have lost their last decode engines.
func (o *Controller) restoreAll(ctx context.Context) {
	if o.o.Now().Before(o.fenceRetryAt) {
		return
	}
	for _, service := range o.o.Services() {
		if !o.homeOf[service] || !o.o.LacksDecoder(service) {
			continue
		}
		s := o.planState(service)
		o.checkEnds(ctx, service, s)
		if moves := tlrole.RestoreDecoders(tlrole.DefaultOptions(), s); len(moves) > 0 {
			o.order(ctx, service, s, moves)
		}
	}
}

// planAll plans the services of this instance. Once it has become the home of some that have
// engines, it first reads who gave their orders, so that the lease of that holder runs out
// meanwhile.
func (o *Controller) planAll(ctx context.Context) {
	before := o.homeOf
	o.homeOf = map[string]bool{}
	isNew := false
	for _, service := range o.o.Services() {
		if len(o.o.Roles(service).Engines) == 0 {
			continue
		}
		o.homeOf[service] = true
		isNew = isNew || !before[service]
	}
	if isNew {
		o.observeHolders(ctx)
	}
	for service := range o.homeOf {
		o.plan(ctx, service)
	}
}

// observeHolders reads who gave the last orders of each service. A failure costs time only:
// the records are read again before an order.
func (o *Controller) observeHolders(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	if err := o.fence.observe(ctx); err != nil {
		o.o.Logger.WithField("Cause", err.Error()).Info("holders of orders not read")
	}
}

func (o *Controller) plan(ctx context.Context, service string) {
	s := o.planState(service)
	o.checkEnds(ctx, service, s)
	o.noteUndecoded(service, s)
	o.readUse[service] += readUseWeight * (s.PrefillUtilisation - o.readUse[service])
	s.PrefillUtilisation = o.readUse[service]
	moves := tlrole.Plan(tlrole.DefaultOptions(), s)
	if len(moves) > 0 {
		o.order(ctx, service, s, moves)
	}
}

// order sends the orders for moves, unless another holder may still give them.
func (o *Controller) order(ctx context.Context, service string, s tlrole.State, moves []tlrole.Move) {
	if o.o.Now().Before(o.fenceRetryAt) {
		return
	}
	call, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	number, err := o.fence.acquire(call, service)
	if err != nil {
		o.o.Count(FenceFailed)
		o.fenceRetryAt = o.o.Now().Add(min(o.fence.heldFor(service, err), fenceRetryDelay))
		o.o.Logger.WithFields(logrus.Fields{"Service": service, "Cause": err.Error()}).Info("no fencing number")
		return
	}
	o.logPlan(service, s, moves)
	o.sendBatch(ctx, service, moves, number)
}

func (o *Controller) logPlan(service string, s tlrole.State, moves []tlrole.Move) {
	prefill, decode := s.CountByRole()
	o.o.Logger.WithFields(logrus.Fields{
		"Service":     service,
		"Moves":       len(moves),
		"Role":        moves[0].Role.String(),
		"Prefill":     prefill,
		"Decode":      decode,
		"Wanted":      tlrole.PrefillEngines(tlrole.DefaultOptions(), s),
		"PrefillWork": s.PrefillWork,
		"DecodeWork":  s.DecodeWork,
		"Utilisation": s.PrefillUtilisation,
		"Waiting":     s.Waiting,
		"IsFirst":     s.IsFirst,
		"Versions":    s.Describe(),
	}).Info("roles planned")
}

// noteUndecoded logs the versions that requests need and that have no decode engine, when these change.
func (o *Controller) noteUndecoded(service string, s tlrole.State) {
	undecoded := s.Undecoded()
	if slices.Equal(undecoded, o.undecoded[service]) {
		return
	}
	o.undecoded[service] = undecoded
	o.o.Logger.WithFields(logrus.Fields{
		"Service":   service,
		"Undecoded": undecoded,
		"Versions":  s.Describe(),
	}).Info("needed versions without a decode engine")
}

// planState returns the state for a plan, with the times that only the Controller knows.
func (o *Controller) planState(service string) tlrole.State {
	now := o.o.Now()
	s := o.o.Roles(service)
	last, hasMoved := o.lastBatch[service]
	s.SinceMove, s.IsFirst = now.Sub(last), s.IsFirst && !hasMoved
	l := o.engineCounts[service]
	if len(s.Engines) > l.engines {
		l.roseAt = now
	}
	if len(s.Engines) != l.engines {
		l.engines, l.since = len(s.Engines), now
	}
	o.engineCounts[service] = l
	s.SinceChange, s.SinceJoin = now.Sub(l.since), now.Sub(l.roseAt)
	for i := range s.Engines {
		e := &s.Engines[i]
		m, ok := o.givenOrders[e.ID]
		e.SinceOrder = orderExpiry
		if !ok {
			continue
		}
		e.SinceOrder = now.Sub(m.at)
		e.IsMoving = e.Role != m.role && e.SinceOrder < orderExpiry
		e.IsUnanswered = e.IsMoving && !m.isAnswered
	}
	return s
}

// sendBatch sends a batch of orders in parallel and waits for the results.
func (o *Controller) sendBatch(ctx context.Context, service string, moves []tlrole.Move, number uint64) {
	began := o.o.Now()
	o.lastBatch[service] = began
	away := began.Add(o.o.RoleChangeTime(service) + roleChangeMargin)
	var sending sync.WaitGroup
	results := make([]orderResult, len(moves))
	for n, m := range moves {
		o.o.MarkChangingRole(service, m.Engine.ID, m.Role, time.Now().Add(away.Sub(began)))
		sending.Go(func() { results[n] = o.sendOrder(ctx, service, m, number, began) })
	}
	sending.Wait()
	for n, m := range moves {
		g := givenOrder{role: m.Role, at: began, isAnswered: results[n] == orderAnswered}
		if results[n] == orderNotGiven {
			g.role = m.Engine.Role
			o.o.MarkKeepingRole(service, m.Engine.ID)
		}
		o.givenOrders[m.Engine.ID] = g
	}
}

// orderResult is what has become of an order.
type orderResult int

const (
	// orderNotGiven means that the engine won't carry the order out.
	orderNotGiven orderResult = iota
	// orderUnanswered means that it may, at once or late.
	orderUnanswered
	// orderAnswered means that it carries the order out, or one like it.
	orderAnswered
)

// sendOrder sends an order and returns what has become of it.
func (o *Controller) sendOrder(ctx context.Context, service string, m tlrole.Move, number uint64, began time.Time) orderResult {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
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
		l.WithField("Cause", err.Error()).Info("order not given: engine load not available")
		return orderNotGiven
	}
	if load.IsCarryingOut {
		// An earlier holder may have given this very order.
		l.Info("order not given: another one is being carried out")
		return orderAnswered
	}
	if o.o.Now().Sub(began) > batchMaxAge {
		o.o.Count(SentTooLate)
		l.Info("order not given: too late")
		return orderNotGiven
	}
	if err := o.o.Order(ctx, m.Engine, m.Role, number, load.AcceptedOrders); err != nil {
		o.o.Count(OrderFailed)
		l.WithField("Cause", err.Error()).Info("order failed")
		if errors.Is(err, ErrRefused) {
			return orderNotGiven
		}
		return orderUnanswered
	}
	o.o.Count(Ordered)
	l.Info("order given")
	return orderAnswered
}
