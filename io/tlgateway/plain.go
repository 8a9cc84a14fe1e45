package tlgateway

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlhealth"
	"trefoillanding/core/tlverdict"
	"trefoillanding/io/tlsend"
)

const (
	// hedgeFactor is the multiple of an endpoint's usual answer time after which a repeatable request is hedged.
	hedgeFactor = 4
	// minHedgeDelay is the shortest wait before a request is hedged.
	minHedgeDelay = 180 * time.Millisecond
	// extraSends bounds the sends beyond the route's attempts for requests that did not run.
	extraSends = 2
	// maxUnsent bounds the tries in which nothing was sent, since an endpoint's limit was used up.
	maxUnsent = 8
	// busyRetryAfter is the Retry-After while a service has no room, no available endpoint or no retry budget.
	busyRetryAfter = 250 * time.Millisecond
	// minTimeLeft is the time before the deadline below which nothing more is sent.
	minTimeLeft = 20 * time.Millisecond
)

// sendResult is how one send of a plain request ended.
type sendResult struct {
	endpoint tlendpoint.Endpoint
	answer   bufferedAnswer
	err      error
	// isForwarded says that another instance sent the request; its word is final.
	isForwarded bool
	// isAwaiting says that the send still counts as one that waits for a slot.
	isAwaiting bool
}

// isDeliverable reports whether the answer can be forwarded without trying another endpoint.
func (s sendResult) isDeliverable() bool {
	if s.isForwarded {
		return s.err == nil
	}
	return s.err == nil && !s.answer.reply.Answer.NotRun && s.answer.reply.Status < http.StatusInternalServerError
}

// mayHaveRun reports whether the endpoint may have run the request.
func (s sendResult) mayHaveRun() bool {
	if s.err == nil {
		return !s.answer.reply.Answer.NotRun
	}
	var f *tlsend.Error
	return !errors.As(s.err, &f) || f.MayHaveRun
}

// isUnsent reports whether the request was not sent, since the endpoint may be sent none now.
func (s sendResult) isUnsent() bool {
	var f *tlsend.Error
	return errors.As(s.err, &f) && f.IsUnsent
}

// plainRequest sends a plain request to one endpoint after another, with hedging.
type plainRequest struct {
	x       *exchange
	ctx     context.Context
	results chan sendResult
	// chosen brings the IDs of the endpoints to which sends go that had to wait for a slot.
	chosen   chan string
	tried    []string
	inFlight int
	// unsent counts the tries in which nothing was sent.
	unsent int
	// possibleRuns counts the ended sends that may have run.
	possibleRuns int
	bestFailure  sendResult
	// refusal is that of the instance to which the request was forwarded, or that has no slot for it.
	refusal *tlverdict.Error
	// awaiting counts the sends that wait for a slot.
	awaiting atomic.Int32
}

func (x *exchange) servePlain() {
	ctx, stop := x.context()
	defer stop()
	most := x.route.Attempts + extraSends + 2
	c := &plainRequest{
		x:            x,
		ctx:          ctx,
		results:      make(chan sendResult, most),
		chosen:       make(chan string, most),
		possibleRuns: x.earlierRuns(),
	}
	c.bestFailure.err = tlverdict.New(tlverdict.NoEndpoint, "no endpoint of service %s is available", x.service.Name)
	if c.sendNext() {
		c.run()
		return
	}
	if e := cmp.Or(x.quarantineRefusal(), x.restRefusal()); e != nil {
		x.refuse(e)
		return
	}
	x.refuse(tlverdict.New(tlverdict.NoEndpoint, "no endpoint of service %s is available", x.service.Name).WithRetryAfter(busyRetryAfter))
}

// run waits for answers, retries and hedges as far as allowed, and answers the caller.
func (c *plainRequest) run() {
	hedge := time.NewTimer(c.hedgeDelay(c.tried[0]))
	defer hedge.Stop()
	cut := c.x.g.deps.Prober.Cut(c.x.service.Name)
	if c.x.isCut() {
		cut = nil
	}
	for c.inFlight > 0 {
		select {
		case <-cut:
			cut = nil
			c.hedge()
		case s := <-c.results:
			c.inFlight--
			if s.isDeliverable() {
				c.x.forward(s.answer)
				return
			}
			c.recordFailure(s)
			c.retry(s)
		case id := <-c.chosen:
			c.noteTried(id)
			hedge.Reset(c.hedgeDelay(id))
		case <-hedge.C:
			c.hedge()
		case <-c.ctx.Done():
			c.refuseTimedOut()
			return
		}
	}
	c.finish()
}

// recordFailure keeps the most informative failure for the caller.
func (c *plainRequest) recordFailure(s sendResult) {
	if s.mayHaveRun() {
		c.possibleRuns++
	}
	if s.isUnsent() {
		c.unsent++
	}
	c.settle(s)
	if c.bestFailure.err != nil || s.err == nil && !s.answer.reply.Answer.NotRun {
		c.bestFailure = s
	}
}

// retry sends the request to another endpoint if the last did not run it or the request
// may be repeated. One that was not sent costs nothing, and goes elsewhere though another
// send is under way, since it was to be sent besides that.
func (c *plainRequest) retry(last sendResult) {
	if last.isUnsent() && c.unsent <= maxUnsent && c.x.timeLeft() >= minTimeLeft {
		c.sendNext()
		return
	}
	c.refusal = refusalOf(last.err)
	if c.inFlight > 0 || c.refusal != nil || !c.mayRetry() {
		return
	}
	if c.x.mustForward() && c.possibleRuns == 0 {
		// Nothing has reached an endpoint, so that this is no retry.
		c.sendNext()
		return
	}
	if c.possibleRuns == 0 && last.isTurnedAway() && c.x.usesSlots() {
		// The home says where there is room, so that this is no guess that costs others.
		c.x.g.deps.Count(Requeued)
		c.sendNext()
		return
	}
	if !c.x.g.deps.Budget.Spend(c.x.service.Name, 1) {
		c.x.g.deps.Count(BudgetSpent)
		c.x.step("not sent again", logrus.Fields{"Reason": BudgetSpent})
		return
	}
	c.x.g.deps.Count(Retried)
	c.sendNext()
}

func (c *plainRequest) mayRetry() bool {
	if c.x.timeLeft() < minTimeLeft || len(c.tried)-c.unsent >= c.x.route.Attempts+extraSends {
		return false
	}
	if c.possibleRuns == 0 {
		return true
	}
	return c.x.route.MayRepeat() && !c.x.isTrial && c.possibleRuns < c.x.route.Attempts
}

func (c *plainRequest) hedgeDelay(endpoint string) time.Duration {
	return max(hedgeFactor*c.x.g.deps.Directory.TypicalAnswerTime(endpoint), minHedgeDelay)
}

// hedge sends a repeatable request to another endpoint while the first is slow, other
// than to wait for a slot.
func (c *plainRequest) hedge() {
	x := c.x
	if !x.route.MayRepeat() || x.isTrial || c.awaiting.Load() > 0 || c.inFlight+c.possibleRuns >= x.route.Attempts || x.timeLeft() < minTimeLeft {
		return
	}
	if !x.g.deps.Budget.Spend(x.service.Name, 1) {
		x.g.deps.Count(BudgetSpent)
		return
	}
	x.g.deps.Count(Hedged)
	c.sendNext()
}

// sendNext sends the request to the best remaining endpoint and reports whether there was
// one. Others may have shown meanwhile that the request crashes endpoints.
func (c *plainRequest) sendNext() bool {
	x := c.x
	if x.quarantineRefusal() != nil {
		return false
	}
	if x.mustForward() {
		c.forwardNext()
		return true
	}
	if x.usesSlots() {
		c.sendInSlot()
		return true
	}
	e, ok := x.g.deps.Directory.Pick(x.g.deps.Now(), x.service.Name, c.tried, x.route.MayRepeat())
	if !ok {
		return false
	}
	c.tried = append(c.tried, e.ID)
	c.inFlight++
	x.sends++
	x.step("sent", logrus.Fields{"Endpoint": e.ID, "Send": x.sends, "LeftMs": x.timeLeft().Milliseconds()})
	c.start(e, func() sendResult { return x.sendPlain(c.ctx, e) })
	return true
}

// forwardNext gives the request to another instance.
func (c *plainRequest) forwardNext() {
	c.tried = append(c.tried, "")
	c.inFlight++
	c.x.sends++
	runs := c.possibleRuns
	c.start(tlendpoint.Endpoint{}, func() sendResult { return c.x.forwardPlain(c.ctx, runs) })
}

// start sends the request in the background.
func (c *plainRequest) start(e tlendpoint.Endpoint, send func() sendResult) {
	go func() {
		s := sendResult{endpoint: e, err: errPanicked}
		defer func() {
			c.x.recovered(recover())
			c.results <- s
		}()
		s = send()
	}()
}

// forwardPlain gives the request to another instance and reads the answer.
func (x *exchange) forwardPlain(ctx context.Context, runs int) sendResult {
	s := sendResult{isForwarded: true}
	r, peer, err := x.forwardRequest(ctx, "", runs)
	s.endpoint.ID = peer
	if err == nil {
		s.answer, err = x.bufferWhole(ctx, r, checkForwarded)
		if err != nil {
			err = &tlsend.Error{Endpoint: peer, MayHaveRun: true, Outcome: readFailureOutcome(ctx), Err: err}
		}
	}
	s.err = err
	return s
}

// sendPlain sends the request to an endpoint, reads the answer and records the outcome.
func (x *exchange) sendPlain(ctx context.Context, e tlendpoint.Endpoint) sendResult {
	began := x.g.deps.Now()
	s := sendResult{endpoint: e}
	r, err := x.g.deps.Sender.Send(ctx, e, x.request, tlcall.Send{TimeLeft: x.timeLeftForEndpoint()})
	if err == nil {
		s.answer, err = x.bufferWhole(ctx, r, x.checkEndpoint(e))
		if err != nil {
			err = &tlsend.Error{Endpoint: e.ID, MayHaveRun: true, Outcome: readFailureOutcome(ctx), Err: err}
		}
	}
	s.err = err
	took := x.g.deps.Now().Sub(began)
	o := outcomeOf(s)
	x.checkCut(ctx, o)
	x.observe(e.ID, o, took)
	if s.isTurnedAway() && x.service.Engine == nil {
		x.g.deps.Slots.TurnedAway(x.service.Name)
	}
	switch {
	case o == tlhealth.Answered || o == tlhealth.ServerError:
		x.g.deps.Guard.Answered(x.service.Name, x.parts)
	case isBreak(s.err):
		x.reportBreak(e)
	}
	if o != tlhealth.Answered {
		x.step("send failed", logrus.Fields{
			"Endpoint":   e.ID,
			"Outcome":    o.String(),
			"MayHaveRun": s.mayHaveRun(),
			"TookMs":     took.Milliseconds(),
			"Cause":      causeOf(s),
		})
	}
	return s
}

func causeOf(s sendResult) any {
	if s.err != nil {
		return s.err.Error()
	}
	return s.answer.reply.Status
}

// readFailureOutcome tells whether an answer failed because the request was cancelled, timed out, or lost its connection.
func readFailureOutcome(ctx context.Context) tlhealth.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return tlhealth.CallerGone
	case ctx.Err() != nil:
		return tlhealth.TimedOut
	}
	return tlhealth.Broken
}

func outcomeOf(s sendResult) tlhealth.Outcome {
	var f *tlsend.Error
	switch {
	case errors.As(s.err, &f):
		return f.Outcome
	case s.err != nil:
		return tlhealth.Broken
	case s.answer.reply.Answer.IsMisdirected:
		return tlhealth.ConnectFailed
	case s.answer.reply.Answer.NotRun:
		return tlhealth.Refused
	case s.answer.reply.Status >= http.StatusInternalServerError:
		return tlhealth.ServerError
	}
	return tlhealth.Answered
}

// refuseTimedOut ends a request whose caller has disconnected or whose deadline has passed.
func (c *plainRequest) refuseTimedOut() {
	if c.x.isCallerGone() {
		// Sends still in flight may have run too.
		c.x.refuse(callerGoneError(true))
		return
	}
	// A send that waits for a slot beyond the deadline never takes place.
	isUnsent := c.possibleRuns == 0 && int(c.awaiting.Load()) == c.inFlight
	if isUnsent && (c.inFlight > 0 || c.refusal != nil) {
		c.x.refuse(cmp.Or(c.refusal, c.x.noSlot(0)))
		return
	}
	c.x.refuse(tlverdict.New(tlverdict.EndpointTimeout, "no endpoint answered in time"))
}

// finish answers a request that no endpoint served with its most informative failure.
func (c *plainRequest) finish() {
	x, s := c.x, c.bestFailure
	rest := x.restRefusal()
	held := x.quarantineRefusal()
	switch {
	case c.ctx.Err() != nil:
		c.refuseTimedOut()
	case held != nil && c.possibleRuns == 0:
		x.refuse(held)
	case c.refusal != nil && c.possibleRuns == 0:
		x.refuse(c.refusal)
	case rest != nil && c.possibleRuns == 0:
		x.refuse(rest)
	case s.err == nil && s.answer.reply.Answer.NotRun && c.possibleRuns == 0:
		x.refuse(tlverdict.New(tlverdict.PoolBusy, "the endpoints of service %s are full", x.service.Name).WithRetryAfter(busyRetryAfter))
	case s.err == nil && !s.answer.reply.Answer.NotRun:
		x.forward(s.answer)
	case c.possibleRuns == 0:
		x.refuse(tlverdict.New(tlverdict.NoEndpoint, "no endpoint of service %s could be reached: %v", x.service.Name, s.err).WithRetryAfter(busyRetryAfter))
	case c.refusal != nil && c.refusal.Reason == tlverdict.EndpointTimeout:
		x.refuse(c.refusal)
	default:
		x.refuse(tlverdict.New(tlverdict.EndpointFailed, "the endpoint failed: %v", s.err))
	}
}
