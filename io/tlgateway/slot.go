package tlgateway

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlhealth"
	"trefoillanding/core/tlslot"
	"trefoillanding/core/tlverdict"
	"trefoillanding/io/tlsend"
	"trefoillanding/io/tlslotter"
)

// usesSlots reports whether the home of the service assigns its slots.
func (x *exchange) usesSlots() bool {
	return x.service.Engine == nil && x.g.deps.Slots.IsContended(x.service.Name)
}

// isTurnedAway reports whether the endpoint had no room for the request. One that leaves,
// wants rest or names a limit turns requests away for another reason.
func (s sendResult) isTurnedAway() bool {
	if s.err != nil || s.isForwarded {
		return false
	}
	a := s.answer.reply.Answer
	return a.NotRun && !a.IsMisdirected && !a.IsLeaving && a.RestFor == 0 && !a.Limit.IsNamed &&
		s.answer.reply.Status == http.StatusServiceUnavailable
}

// noSlot returns the refusal of a request that would have to wait for too long.
func (x *exchange) noSlot(retryAfter time.Duration) *tlverdict.Error {
	e := tlverdict.New(tlverdict.PoolBusy, "the endpoints of service %s have no slot in time", x.service.Name)
	return e.WithRetryAfter(cmp.Or(retryAfter, busyRetryAfter))
}

// noteTried records an endpoint to which the request was sent.
func (c *plainRequest) noteTried(id string) {
	if id == "" || slices.Contains(c.tried, id) {
		return
	}
	if n := slices.Index(c.tried, ""); n >= 0 {
		c.tried[n] = id
		return
	}
	c.tried = append(c.tried, id)
}

// settle takes in where the request was sent, and that a send has waited in vain.
func (c *plainRequest) settle(s sendResult) {
	if s.isAwaiting {
		c.awaiting.Add(-1)
	}
	if !s.isForwarded {
		c.noteTried(s.endpoint.ID)
	}
}

// mayLeaveQueue reports whether a send that has waited for a slot may take place. Beyond
// the deadline it may not, since the request may have been refused as one that waits.
func (c *plainRequest) mayLeaveQueue() bool {
	if c.ctx.Err() != nil {
		return false
	}
	c.awaiting.Add(-1)
	if c.ctx.Err() == nil {
		return true
	}
	c.awaiting.Add(1)
	return false
}

// sendInSlot sends the request to the endpoint where the home of the service has a slot for it.
func (c *plainRequest) sendInSlot() {
	x := c.x
	r := tlslotter.Request{
		Service:   x.service.Name,
		IsRefused: c.bestFailure.isTurnedAway(),
		Request: tlslot.Request{
			ID:           x.nextReservation(),
			Rank:         x.rank(),
			Organisation: x.organisationName(),
			Weight:       x.weight(),
			GiveUp:       x.deadline,
			Avoid:        slices.Concat(c.tried, x.g.deps.Directory.Unsuited(x.g.deps.Now(), x.service.Name, x.route.MayRepeat())),
			MayProbe:     x.route.MayRepeat(),
		},
	}
	if x.route.Objective > 0 {
		r.Due = x.arrived.Add(x.route.Objective)
	}
	c.tried = append(c.tried, "")
	c.inFlight++
	x.sends++
	send := x.sends
	c.awaiting.Add(1)
	c.start(tlendpoint.Endpoint{}, func() sendResult { return c.takeAndSend(r, send) })
}

// takeAndSend waits for a slot and sends the request; where the home gives no answer, it
// goes to the endpoint that this instance chooses.
func (c *plainRequest) takeAndSend(r tlslotter.Request, send int) sendResult {
	x := c.x
	k, isDecided := x.g.deps.Slots.Take(c.ctx, r)
	if !c.mayLeaveQueue() {
		x.endSlot(k, tlslot.Withdrawn, 0)
		return sendResult{isAwaiting: true, err: &tlsend.Error{Outcome: tlhealth.CallerGone, Err: x.noSlot(0)}}
	}
	if isDecided && k.Endpoint == "" {
		x.step("no slot", logrus.Fields{"Home": k.Home, "WaitedMs": k.Waited.Milliseconds(), "RetryAfterMs": k.RetryAfter.Milliseconds()})
		return sendResult{err: &tlsend.Error{Outcome: tlhealth.Refused, Err: x.noSlot(k.RetryAfter)}}
	}
	e, ok := x.g.deps.Directory.Find(k.Endpoint)
	if !ok && r.IsRefused && !x.g.deps.Budget.Spend(x.service.Name, 1) {
		// Without the home's word this is a retry like any other.
		x.endSlot(k, tlslot.Withdrawn, 0)
		x.g.deps.Count(BudgetSpent)
		return sendResult{err: &tlsend.Error{Outcome: tlhealth.Refused, Err: x.noSlot(0)}}
	}
	if ok {
		x.g.deps.Directory.Begin(e.ID)
	} else {
		// The home may know an endpoint that this instance doesn't.
		x.endSlot(k, tlslot.Withdrawn, 0)
		k = tlslotter.Slot{}
		e, ok = x.g.deps.Directory.Pick(x.g.deps.Now(), x.service.Name, r.Avoid, x.route.MayRepeat())
	}
	if !ok {
		none := tlverdict.New(tlverdict.NoEndpoint, "no endpoint of service %s is available", x.service.Name).WithRetryAfter(busyRetryAfter)
		return sendResult{err: &tlsend.Error{Outcome: tlhealth.ConnectFailed, Err: cmp.Or(x.restRefusal(), none)}}
	}
	select {
	case c.chosen <- e.ID:
	default:
	}
	x.step("sent", logrus.Fields{
		"Endpoint": e.ID, "Send": send, "LeftMs": x.timeLeft().Milliseconds(), "Home": k.Home, "WaitedMs": k.Waited.Milliseconds(),
	})
	began := x.g.deps.Now()
	s := x.sendPlain(c.ctx, e)
	x.endSlot(k, x.slotResult(s), x.g.deps.Now().Sub(began))
	return s
}

func (x *exchange) endSlot(k tlslotter.Slot, r tlslot.Result, took time.Duration) {
	if k.Endpoint != "" {
		x.g.deps.Slots.End(k, r, took)
	}
}

// slotResult returns what a send tells the home of its endpoint; what a cut made fail says nothing.
func (x *exchange) slotResult(s sendResult) tlslot.Result {
	o := outcomeOf(s)
	switch {
	case o == tlhealth.Answered:
		return tlslot.Answered
	case o == tlhealth.ServerError:
		return tlslot.Erred
	case s.isTurnedAway():
		return tlslot.TurnedAway
	case mayBeCut(o) && !x.isCut():
		return tlslot.Failed
	}
	return tlslot.Withdrawn
}
