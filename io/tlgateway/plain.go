package tlgateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlhealth"
	"trefoillanding/core/tlverdict"
	"trefoillanding/io/tlsend"
)

const (
	// hedgeFactor is the multiple of an endpoint's usual time after which a repeatable request goes to a second one.
	hedgeFactor = 4
	// leastHedge is the shortest wait before that.
	leastHedge = 180 * time.Millisecond
	// extraSends bounds the sends beyond the route's attempts for requests that were not run.
	extraSends = 2
	// fullRetryAfter is when to come back to a service whose endpoints are all full.
	fullRetryAfter = 250 * time.Millisecond
	// leastLeft is the time below which nothing is sent any more.
	leastLeft = 20 * time.Millisecond
)

// sent is how one send of a plain request ended.
type sent struct {
	endpoint tlendpoint.Endpoint
	answer   whole
	err      error
}

// isGood says whether the answer is one to pass on at once.
func (s sent) isGood() bool {
	return s.err == nil && !s.answer.reply.Answer.NotRun && s.answer.reply.Status < http.StatusInternalServerError
}

// mayHaveRun says whether the endpoint may have run the request.
func (s sent) mayHaveRun() bool {
	if s.err == nil {
		return !s.answer.reply.Answer.NotRun
	}
	var f *tlsend.Error
	return !errors.As(s.err, &f) || f.MayHaveRun
}

// race sends a plain request to one endpoint after the other.
type race struct {
	x       *exchange
	ctx     context.Context
	results chan sent
	tried   []string
	open    int
	// ran counts the sends that may have run.
	ran  int
	best sent
}

func (x *exchange) servePlain() {
	ctx, stop := x.context()
	defer stop()
	c := &race{x: x, ctx: ctx, results: make(chan sent, x.route.Attempts+extraSends+1)}
	c.best.err = tlverdict.New(tlverdict.NoEndpoint, "no endpoint of service %s can be used", x.service.Name)
	if c.launch() {
		c.run()
		return
	}
	x.refuse(tlverdict.New(tlverdict.NoEndpoint, "no endpoint of service %s can be used", x.service.Name).WithRetryAfter(fullRetryAfter))
}

// run waits for answers, sends again as far as allowed, and answers the caller.
func (c *race) run() {
	hedge := time.NewTimer(c.hedgeAfter())
	defer hedge.Stop()
	for c.open > 0 {
		select {
		case s := <-c.results:
			c.open--
			if s.isGood() {
				c.x.pass(s.answer)
				return
			}
			c.note(s)
			c.again()
		case <-hedge.C:
			c.hedge()
		case <-c.ctx.Done():
			c.timeout()
			return
		}
	}
	c.finish()
}

// note keeps the failure that tells the caller most.
func (c *race) note(s sent) {
	if s.mayHaveRun() {
		c.ran++
	}
	if c.best.err != nil || s.err == nil && !s.answer.reply.Answer.NotRun {
		c.best = s
	}
}

// again sends the request to another endpoint where the last did not run it, or it may repeat.
func (c *race) again() {
	if c.open > 0 || !c.mayGoOn() {
		return
	}
	if !c.x.g.d.Budget.Spend(c.x.service.Name, 1) {
		c.x.g.d.Count(BudgetSpent)
		c.x.step("not sent again", logrus.Fields{"Reason": BudgetSpent})
		return
	}
	c.x.g.d.Count(Retried)
	c.launch()
}

func (c *race) mayGoOn() bool {
	if c.x.left() < leastLeft || len(c.tried) >= c.x.route.Attempts+extraSends {
		return false
	}
	if c.ran == 0 {
		return true
	}
	return c.x.route.MayRepeat() && c.ran < c.x.route.Attempts
}

func (c *race) hedgeAfter() time.Duration {
	return max(hedgeFactor*c.x.g.d.Directory.TypicalAnswerTime(c.tried[0]), leastHedge)
}

// hedge sends a repeatable request to a second endpoint while the first is slow.
func (c *race) hedge() {
	x := c.x
	if !x.route.MayRepeat() || c.open+c.ran >= x.route.Attempts || x.left() < leastLeft {
		return
	}
	if !x.g.d.Budget.Spend(x.service.Name, 1) {
		x.g.d.Count(BudgetSpent)
		return
	}
	x.g.d.Count(Hedged)
	c.launch()
}

// launch sends the request to the best endpoint and says whether there was one.
func (c *race) launch() bool {
	x := c.x
	e, ok := x.g.d.Directory.Pick(x.g.d.Now(), x.service.Name, c.tried, x.route.MayRepeat())
	if !ok {
		return false
	}
	c.tried = append(c.tried, e.ID)
	c.open++
	x.sends++
	x.step("sent", logrus.Fields{"Endpoint": e.ID, "Send": x.sends, "LeftMs": x.left().Milliseconds()})
	go func() {
		c.results <- x.sendPlain(c.ctx, e)
	}()
	return true
}

// sendPlain sends the request to an endpoint and reads the answer.
func (x *exchange) sendPlain(ctx context.Context, e tlendpoint.Endpoint) sent {
	began := x.g.d.Now()
	s := sent{endpoint: e}
	r, err := x.g.d.Sender.Send(ctx, e, x.request, tlcall.Send{TimeLeft: x.leftToSay()})
	if err == nil {
		s.answer, err = readWhole(r)
		if err != nil {
			err = &tlsend.Error{Endpoint: e.ID, MayHaveRun: true, Outcome: brokenOr(ctx), Err: err}
		}
	}
	s.err = err
	took := x.g.d.Now().Sub(began)
	o := outcomeOf(s)
	x.g.d.Directory.Observe(x.g.d.Now(), e.ID, o, took)
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

func causeOf(s sent) any {
	if s.err != nil {
		return s.err.Error()
	}
	return s.answer.reply.Status
}

// brokenOr tells an answer that broke off from one that was left.
func brokenOr(ctx context.Context) tlhealth.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return tlhealth.CallerGone
	case ctx.Err() != nil:
		return tlhealth.TimedOut
	}
	return tlhealth.Broken
}

func outcomeOf(s sent) tlhealth.Outcome {
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

// timeout answers when the caller's or the route's time is over.
func (c *race) timeout() {
	if c.x.isGone() {
		// The sends that are still open may have run too.
		c.x.refuse(callerLeft(true))
		return
	}
	c.x.refuse(tlverdict.New(tlverdict.EndpointTimeout, "no endpoint answered in time"))
}

// finish answers with what is known of a request that no endpoint served.
func (c *race) finish() {
	x, s := c.x, c.best
	switch {
	case c.ctx.Err() != nil:
		c.timeout()
	case s.err == nil && s.answer.reply.Answer.NotRun && c.ran == 0:
		x.refuse(tlverdict.New(tlverdict.PoolBusy, "the endpoints of service %s are full", x.service.Name).WithRetryAfter(fullRetryAfter))
	case s.err == nil && !s.answer.reply.Answer.NotRun:
		x.pass(s.answer)
	case c.ran == 0:
		x.refuse(tlverdict.New(tlverdict.NoEndpoint, "no endpoint of service %s could be reached: %v", x.service.Name, s.err).WithRetryAfter(fullRetryAfter))
	default:
		x.refuse(tlverdict.New(tlverdict.EndpointFailed, "the endpoint failed: %v", s.err))
	}
}
