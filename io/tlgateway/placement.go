package tlgateway

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlhealth"
	"trefoillanding/core/tlplace"
	"trefoillanding/core/tlverdict"
	"trefoillanding/io/tlbooking"
)

const (
	// minFirstEventWait is the least time that callers are assumed to wait for a first event.
	minFirstEventWait = 2 * time.Second
	// objectiveWaitFactor is the multiple of the route's objective that they are assumed to wait at least.
	objectiveWaitFactor = 4
	// gapWaitFactor is the multiple of the route's longest pause that they are assumed to wait at least.
	gapWaitFactor = 8
)

// chargeRetry charges an attempt after the first to the retry budget: one send if
// no prefill is sent, two with a prefill. A budget for only one skips the prefill.
// A send that reached no engine stands in for the next one.
func (g *generation) chargeRetry(p *placement) *tlverdict.Error {
	if g.decodeSends == 0 {
		return nil
	}
	if g.isUnreached {
		g.isUnreached = false
		p.isSplit = p.isSplit && g.x.g.deps.Budget.Spend(g.x.service.Name, 1)
		return nil
	}
	if p.reusesPrefill {
		return g.chargeSend()
	}
	if p.isSplit && g.x.g.deps.Budget.Spend(g.x.service.Name, 2) {
		g.hasCharged = true
		return nil
	}
	p.isSplit = false
	return g.chargeSend()
}

// chargeSend charges one send to the retry budget.
func (g *generation) chargeSend() *tlverdict.Error {
	if g.x.g.deps.Budget.Spend(g.x.service.Name, 1) {
		g.hasCharged = true
		return nil
	}
	g.x.g.deps.Count(BudgetSpent)
	e := tlverdict.New(tlverdict.TooManyRequests, "the retry budget is spent: %v", g.lastFailure)
	return g.finalError(e.WithRetryAfter(busyRetryAfter))
}

// placement is the endpoints that run a generation.
type placement struct {
	prefill tlendpoint.Endpoint
	decode  tlendpoint.Endpoint
	// isSplit says that a separate engine reads the prompt.
	isSplit bool
	// reusesPrefill says that the prefill of an earlier attempt is used.
	reusesPrefill bool
	// isForwarded says that decode is another instance, to which the request was given.
	isForwarded bool
	// isPicked says that the directory picked the endpoint, and counts the request there.
	isPicked bool
}

// findAdmitted finds a placement at engines that may be sent the request now. The permits
// are taken ahead of the prefill, which would be wasted without one for the answer.
func (g *generation) findAdmitted() (placement, *tlverdict.Error) {
	for range maxUnsent {
		if e := g.x.quarantineRefusal(); e != nil {
			return placement{}, g.finalError(e)
		}
		p, err := g.findPlacement()
		if err != nil {
			return placement{}, err
		}
		// A trial costs one engine at the most, which then reads the prompt itself.
		p.isSplit = p.isSplit && !g.x.isTrial
		if e := g.admit(p); e != nil {
			g.lastFailure = e
			continue
		}
		return p, nil
	}
	if e := g.x.restRefusal(); e != nil {
		return placement{}, g.finalError(e)
	}
	return placement{}, g.finalError(nil)
}

// admit takes the permits for the sends of a placement, which it releases where there is none.
func (g *generation) admit(p placement) error {
	if p.isSplit && !p.reusesPrefill {
		if err := g.x.g.deps.Sender.Admit(g.ctx, p.prefill); err != nil {
			g.logNotAdmitted(p.prefill.ID, err)
			// The home may hear of the end of the reservation after the next has begun.
			g.releaseReservation()
			g.reservation = g.x.nextReservation()
			return err
		}
	}
	err := g.x.g.deps.Sender.Admit(g.ctx, p.decode)
	if err == nil {
		return nil
	}
	g.logNotAdmitted(p.decode.ID, err)
	g.unpick(p)
	if g.hasReservation {
		g.hasReservation = false
		g.report(tlbooking.DecodeFull, p.decode.ID)
	}
	return err
}

func (g *generation) logNotAdmitted(endpoint string, cause error) {
	g.x.step("not admitted", logrus.Fields{"Endpoint": endpoint, "Cause": cause.Error()})
}

// findPlacement reserves engines with room, or picks an endpoint where none need be reserved.
func (g *generation) findPlacement() (placement, *tlverdict.Error) {
	if g.x.service.Engine == nil || g.x.call.PromptTokens == 0 {
		return g.pickEndpoint()
	}
	x := g.x
	if e := x.restRefusal(); e != nil {
		return placement{}, g.finalError(e)
	}
	d, err := g.reserve()
	if e := x.quarantineRefusal(); e != nil {
		g.hasReservation = err == nil && d.Refused == tlplace.NotRefused
		g.releaseReservation()
		return placement{}, g.finalError(e)
	}
	if err != nil {
		return placement{}, g.finalError(tlverdict.Of(err))
	}
	x.step("placed", logrus.Fields{
		"Prefill":  d.Prefill,
		"Decode":   d.Decode,
		"Tokens":   d.Tokens,
		"Refused":  d.Refused.String(),
		"WaitedMs": d.Waited.Milliseconds(),
	})
	if d.Refused != tlplace.NotRefused {
		g.logEnginesOfVersion()
		return placement{}, g.finalError(refusalError(d))
	}
	g.hasReservation = true
	return g.resolve(d)
}

// logEnginesOfVersion logs which engines of the version that began the stream are listed here.
func (g *generation) logEnginesOfVersion() {
	if g.version == "" {
		return
	}
	x := g.x
	list := x.g.deps.Directory.Endpoints(x.service.Name)
	x.step("engines of the version", logrus.Fields{
		"Version": g.version,
		"Engines": tlendpoint.CountVersion(list, g.version).String(),
	})
}

// reserve waits for a reservation, which a quarantine of the request ends.
func (g *generation) reserve() (tlplace.Decision, error) {
	x := g.x
	ctx := g.ctx
	if !x.isTrial {
		watched, stop := x.g.deps.Guard.Watch(ctx, x.service.Name, x.parts)
		defer stop()
		ctx = watched
	}
	return x.g.deps.Reservations.Reserve(ctx, x.service.Name, g.reservationRequest())
}

// pickEndpoint picks an endpoint for a stream of a service without engines, or without a prompt length.
func (g *generation) pickEndpoint() (placement, *tlverdict.Error) {
	x := g.x
	e, ok := x.g.deps.Directory.PickVersion(x.g.deps.Now(), x.service.Name, g.version, g.avoid, g.mayResume())
	if !ok {
		if e := x.restRefusal(); e != nil {
			return placement{}, g.finalError(e)
		}
		return placement{}, g.noEndpoint()
	}
	p := placement{decode: e, isPicked: true}
	if g.isSuccessor && slices.Contains(g.avoid, e.ID) {
		g.unpick(p)
		return placement{}, g.noEndpoint()
	}
	return p, nil
}

func (g *generation) noEndpoint() *tlverdict.Error {
	e := tlverdict.New(tlverdict.NoEndpoint, "no endpoint of service %s is available", g.x.service.Name)
	return g.finalError(e.WithRetryAfter(busyRetryAfter))
}

// unpick tells the directory that nothing is sent to an endpoint that it picked.
func (g *generation) unpick(p placement) {
	if p.isPicked {
		g.x.g.deps.Directory.Observe(g.x.g.deps.Now(), p.decode.ID, tlhealth.CallerGone, 0)
	}
}

// resolve looks up the engines of a decision in this instance's own directory.
func (g *generation) resolve(d tlplace.Decision) (placement, *tlverdict.Error) {
	p := placement{reusesPrefill: d.ReusesPrefill}
	var ok bool
	if p.decode, ok = g.x.g.deps.Directory.Find(d.Decode); !ok || !g.accepts(p.decode) {
		g.engineFailed(d.Decode)
		g.decodeSends++
		return g.findPlacement()
	}
	if d.Prefill != "" {
		p.prefill, p.isSplit = g.x.g.deps.Directory.Find(d.Prefill)
	}
	p.isSplit = p.isSplit && p.prefill.Version == p.decode.Version
	p.reusesPrefill = p.reusesPrefill && g.sourceVersion == p.decode.Version
	if d.Prefill != "" && !p.isSplit {
		g.report(tlbooking.PrefillFailed, d.Prefill)
	}
	return p, nil
}

// accepts reports whether an endpoint has the version that began the stream, if it has begun.
func (g *generation) accepts(e tlendpoint.Endpoint) bool {
	return g.version == "" || g.version == e.Version
}

func (g *generation) reservationRequest() tlplace.Request {
	x := g.x
	r := x.route
	from := x.arrived
	due := from.Add(r.Objective)
	if g.hasSentHeader || x.isTakeUp() {
		from = x.g.deps.Now()
		due = from.Add(r.GapObjective)
	}
	giveUp := from.Add(max(minFirstEventWait, objectiveWaitFactor*r.Objective, gapWaitFactor*r.GapObjective))
	if giveUp.After(x.deadline) {
		giveUp = x.deadline
	}
	return tlplace.Request{
		ID:     g.reservation,
		Prompt: x.call.PromptTokens,
		Output: x.call.ExpectedTokens(),
		Rank:   x.rank(),

		Organisation: x.organisationName(),
		Weight:       x.weight(),

		Due:      due,
		GiveUp:   giveUp,
		Deadline: x.deadline,
		// Zero if no prefill can be reused.
		PrefillKeptUntil: g.sourceExpiry,
		PrefillVersion:   g.sourceVersion,
		Version:          g.version,
		HasBegun:         g.hasSentHeader || x.isTakeUp(),
		Continues:        g.hasSentHeader && !g.isSuccessor,
		Gap:              r.GapObjective,
		Avoid:            append(slices.Clone(g.avoid), x.g.deps.Directory.Unavailable(x.g.deps.Now(), x.service.Name)...),
	}
}

// restRefusal returns the error of a request that no endpoint of its service may be sent
// now, with the time until the first may be sent some; nil if one may now.
func (x *exchange) restRefusal() *tlverdict.Error {
	left, all := x.g.deps.Directory.OpensIn(x.g.deps.Now(), x.service.Name)
	if !all {
		return nil
	}
	return tlverdict.New(tlverdict.PoolBusy, "all endpoints of service %s want rest or have used up their limits", x.service.Name).WithRetryAfter(left)
}

func refusalError(d tlplace.Decision) *tlverdict.Error {
	switch d.Refused {
	case tlplace.TooLarge:
		return tlverdict.New(tlverdict.PoolBusy, "the request needs more memory than any engine has").WithRetryAfter(d.RetryAfter)
	case tlplace.NoEngines:
		return tlverdict.New(tlverdict.NoEndpoint, "no engine is available").WithRetryAfter(d.RetryAfter)
	case tlplace.NoDecoder:
		return tlverdict.New(tlverdict.VersionAway, "no engine of the version that began the stream decodes yet").WithRetryAfter(d.RetryAfter)
	case tlplace.NoVersion:
		return tlverdict.New(tlverdict.VersionGone, "no engine has the version that began the stream").WithRetryAfter(d.RetryAfter)
	}
	return tlverdict.New(tlverdict.WaitTooLong, "no engine has room before the caller leaves").WithRetryAfter(d.RetryAfter)
}

// engineFailed abandons an engine that is unknown here, was silent or answered with a failure.
func (g *generation) engineFailed(engine string) {
	g.abandonEngine(engine, tlbooking.DecodeFailed)
}

// abandonEngine avoids an engine from now on and releases the reservation with event e.
func (g *generation) abandonEngine(engine string, e tlbooking.Event) {
	g.avoid = append(g.avoid, engine)
	if g.hasReservation {
		g.hasReservation = false
		g.report(e, engine)
	}
}

// releaseServed releases the reservation of a complete answer.
func (g *generation) releaseServed() {
	g.x.g.deps.Guard.Answered(g.x.service.Name, g.x.parts)
	if g.hasReservation {
		g.hasReservation = false
		g.report(tlbooking.Completed, "")
	}
}

// releaseReservation releases the reservation of a request that ended otherwise.
func (g *generation) releaseReservation() {
	if g.hasReservation {
		g.hasReservation = false
		g.report(tlbooking.Ended, "")
	}
}

func (g *generation) report(e tlbooking.Event, engine string) {
	if isBlame(e) && g.x.g.deps.Prober.WasCutSince(g.x.service.Name, g.x.g.deps.Now().Add(-blameWindow)) {
		if !endsReservation(e) {
			return
		}
		e, engine = tlbooking.Ended, ""
	}
	if e != tlbooking.Completed && e != tlbooking.Ended && !endsReservation(e) {
		g.x.g.deps.Reservations.Report(g.x.service.Name, g.reservation, e, engine)
		return
	}
	g.x.g.deps.Reservations.ReportAnswer(g.x.service.Name, g.reservation, e, engine, g.speed.take())
}
