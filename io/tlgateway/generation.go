package tlgateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlhealth"
	"trefoillanding/core/tlverdict"
	"trefoillanding/io/tlbooking"
	"trefoillanding/io/tlsend"
)

const (
	// mostSends bounds the sends of one generation to decode engines.
	mostSends = 4
	// muteAfter is how long nothing has to come of an answer until that speaks
	// against its engine: above the slowest way of a prompt's memory and a first event.
	muteAfter = 800 * time.Millisecond
	// muteAfterReading is the same where the engine reads the prompt itself, under load.
	muteAfterReading = 1200 * time.Millisecond
	// leastFirstWait is the shortest wait for the header of a stream's answer.
	leastFirstWait = 900 * time.Millisecond
)

// generation is a request whose answer is a series of events.
type generation struct {
	x   *exchange
	ctx context.Context
	// avoid names the endpoints that failed it.
	avoid []string
	// decodes counts the sends that ask for the answer.
	decodes int
	// ran counts the endpoints that may have run it.
	ran int
	// hasPlace says that a place is booked.
	hasPlace bool
	// begun says that the caller has been sent the header.
	begun bool
	// hasStalled says that its events paused on their way.
	hasStalled bool
	// last is the id of the last event that the caller was sent.
	last string
	// source is where the prompt was read, and until when it is kept, after an engine had no room for it.
	source    tlcall.Source
	keptUntil time.Time
	// failure is what the last endpoint did.
	failure error
}

func (x *exchange) serveGeneration() {
	ctx, stop := x.context()
	defer stop()
	g := &generation{x: x, ctx: ctx, last: x.call.ResumeAfter}
	defer g.leave()
	for {
		done, err := g.attempt()
		if done {
			return
		}
		if err != nil {
			g.refuse(err)
			return
		}
	}
}

// attempt serves the request from one place; it says whether the answer has
// ended, and returns an error where no other attempt can help.
func (g *generation) attempt() (bool, *tlverdict.Error) {
	p, err := g.place()
	if err != nil {
		return false, err
	}
	if err := g.afford(&p); err != nil {
		return false, err
	}
	s, err := g.prefill(p)
	if err != nil {
		return false, err
	}
	r, err := g.decode(p, s)
	if err != nil || r == nil {
		return false, err
	}
	return g.pass(p, r)
}

// decode sends the request to its decode engine; it returns no answer where another attempt may help.
func (g *generation) decode(p place, s tlcall.Source) (*tlsend.Reply, *tlverdict.Error) {
	x := g.x
	g.decodes++
	x.sends++
	x.step("sent", logrus.Fields{
		"Endpoint":    p.decode.ID,
		"IsSplit":     s.IsSet(),
		"After":       g.last,
		"LeftMs":      x.left().Milliseconds(),
		"SinceMs":     x.g.d.Now().Sub(x.arrived).Milliseconds(),
		"FirstWaitMs": g.firstWait().Milliseconds(),
	})
	began := x.g.d.Now()
	ctx, stop := context.WithCancel(g.ctx)
	late := time.AfterFunc(g.firstWait(), stop)
	unwatch := g.watchSilence(p, s)
	r, err := x.g.d.Sender.Send(ctx, p.decode, x.request, tlcall.Send{TimeLeft: x.leftToSay(), Source: s, ResumeAfter: g.last})
	late.Stop()
	unwatch()
	if err != nil {
		stop()
		return nil, g.sendFailed(p, began, err)
	}
	r.Body = &cancelled{r.Body, stop}
	if r.Answer.NotRun {
		_ = r.Body.Close()
		return nil, g.refusedBy(p, r)
	}
	return r, nil
}

// watchSilence tells the home when an engine stays silent, so that others'
// requests are kept from it; this one may have run there, and so waits on. A
// request that goes on elsewhere tells of the silence itself.
func (g *generation) watchSilence(p place, s tlcall.Source) (unwatch func() bool) {
	if !g.hasPlace || g.mayGoOnAfterSilence() {
		return func() bool { return false }
	}
	after := muteAfterReading
	if s.IsSet() {
		after = muteAfter
	}
	t := time.AfterFunc(after, func() {
		g.x.step("engine silent", logrus.Fields{"Endpoint": p.decode.ID})
		g.x.g.d.Count(EngineSilent)
		g.report(tlbooking.DecodeSilent, p.decode.ID)
	})
	return t.Stop
}

// mayGoOnAfterSilence says whether another engine can still be tried when this one is silent.
func (g *generation) mayGoOnAfterSilence() bool {
	return g.mayResume() && g.ran+1 < g.x.route.Attempts
}

// firstWait bounds the wait for an answer's header: where the request may be
// resumed, so that another engine can still be tried, else as long as the caller waits.
func (g *generation) firstWait() time.Duration {
	if g.mayGoOnAfterSilence() {
		return max(g.x.route.Objective, leastFirstWait)
	}
	return max(g.x.left(), 0)
}

// mayResume says whether the request may go on at another endpoint.
func (g *generation) mayResume() bool {
	return g.x.route.Resumable
}

// sendFailed takes in a send that got no answer.
func (g *generation) sendFailed(p place, began time.Time, err error) *tlverdict.Error {
	x := g.x
	var f *tlsend.Error
	if !errors.As(err, &f) {
		f = &tlsend.Error{Endpoint: p.decode.ID, MayHaveRun: true, Outcome: tlhealth.Broken, Err: err}
	}
	if f.Outcome == tlhealth.CallerGone && g.ctx.Err() == nil {
		f.Outcome = tlhealth.TimedOut
	}
	x.g.d.Directory.Observe(x.g.d.Now(), p.decode.ID, f.Outcome, x.g.d.Now().Sub(began))
	x.step("send failed", logrus.Fields{
		"Endpoint":   p.decode.ID,
		"Outcome":    f.Outcome.String(),
		"MayHaveRun": f.MayHaveRun,
		"Cause":      f.Error(),
	})
	if f.MayHaveRun {
		g.ran++
	}
	g.keptUntil = time.Time{}
	if f.Outcome == tlhealth.Broken {
		g.giveUp(p.decode.ID, tlbooking.DecodeConnectionBroke)
	}
	return g.lost(p, f)
}

// refusedBy takes in an engine's answer that it did not run the request.
func (g *generation) refusedBy(p place, r *tlsend.Reply) *tlverdict.Error {
	g.x.g.d.Directory.Observe(g.x.g.d.Now(), p.decode.ID, tlhealth.Refused, 0)
	g.x.step("send failed", logrus.Fields{
		"Endpoint":   p.decode.ID,
		"Outcome":    tlhealth.Refused.String(),
		"MayHaveRun": false,
		"Cause":      r.Status,
	})
	if r.Answer.IsMisdirected {
		return g.lost(p, errNotRun)
	}
	g.giveUp(p.decode.ID, tlbooking.DecodeFull)
	return g.lost(p, errNotRun)
}

var errNotRun = errors.New("the engine did not run the request")

// lost gives the place up and says whether another attempt may help.
func (g *generation) lost(p place, cause error) *tlverdict.Error {
	g.failure = cause
	if g.x.isGone() {
		g.leave()
	}
	if !slices.Contains(g.avoid, p.decode.ID) {
		g.fail(p.decode.ID)
	}
	if g.ctx.Err() != nil || !g.mayGoOn() {
		return g.ended(nil)
	}
	return nil
}

func (g *generation) mayGoOn() bool {
	if g.x.left() < leastLeft || g.decodes >= mostSends {
		return false
	}
	if g.ran == 0 {
		return true
	}
	return g.mayResume() && g.ran < g.x.route.Attempts
}

// ended returns the failure that tells the caller most; e is what there is to say if nothing else is known.
func (g *generation) ended(e *tlverdict.Error) *tlverdict.Error {
	switch {
	case g.x.isGone():
		return callerLeft(g.ran > 0)
	case g.ran > 0 && g.ctx.Err() != nil:
		return tlverdict.New(tlverdict.EndpointTimeout, "no engine answered in time")
	case g.ran > 0:
		return tlverdict.New(tlverdict.EndpointFailed, "the engine failed: %v", g.failure)
	case e != nil && tlverdict.NotRun(e):
		return e
	}
	return tlverdict.New(tlverdict.PoolBusy, "no engine took the request: %v", g.failure).WithRetryAfter(fullRetryAfter)
}

// refuse answers with a failure, or ends the connection where the answer has begun.
func (g *generation) refuse(e *tlverdict.Error) {
	if g.begun {
		g.leave()
		g.x.g.d.Count(string(e.Reason))
		g.x.abort(e.Error())
	}
	g.x.refuse(e)
}

// pass hands the answer of an endpoint to the caller; see attempt.
func (g *generation) pass(p place, r *tlsend.Reply) (bool, *tlverdict.Error) {
	if r.Status >= http.StatusMultipleChoices {
		return g.passFailure(p, r)
	}
	return g.pump(p, r)
}

// passFailure hands an endpoint's own failure on.
func (g *generation) passFailure(p place, r *tlsend.Reply) (bool, *tlverdict.Error) {
	g.ran++
	a, err := readWhole(r)
	if err != nil {
		return false, g.lost(p, err)
	}
	g.x.g.d.Directory.Observe(g.x.g.d.Now(), p.decode.ID, tlhealth.ServerError, 0)
	if g.begun || g.mayGoOn() {
		a.close()
		return false, g.lost(p, errOwnFailure)
	}
	g.fail(p.decode.ID)
	g.x.pass(a)
	return true, nil
}

var errOwnFailure = errors.New("the engine answered with a failure")
