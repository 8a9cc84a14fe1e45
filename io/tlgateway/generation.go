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
	// maxDecodeSends bounds the sends of one generation to decode engines.
	maxDecodeSends = 4
	// silenceTimeout is the wait for an answer's header after which its engine is
	// reported as silent: above the slowest KV cache transfer plus a first event.
	silenceTimeout = 800 * time.Millisecond
	// silenceTimeoutWithPrefill is the same for an engine that reads the prompt itself, under load.
	silenceTimeoutWithPrefill = 1200 * time.Millisecond
	// minHeaderTimeout is the shortest wait for the header of a stream's answer before another engine is sought.
	minHeaderTimeout = 900 * time.Millisecond
)

// generation is a request that is answered with a stream of events.
type generation struct {
	x   *exchange
	ctx context.Context
	// reservation names the generation to the home of its service.
	reservation string
	// prepared is the next send, if it was prepared ahead.
	prepared *preparation
	// relocation moves the generation if the engine that it was sent to is silent.
	relocation *relocation
	// isSuccessor is set while the engine before is only silent, and may still answer.
	isSuccessor bool
	// hasCharged says that a retry was charged to the budget.
	hasCharged bool
	// avoid lists the endpoints that failed or refused the request.
	avoid []string
	// decodeSends counts the sends that ask for the answer.
	decodeSends int
	// possibleRuns counts the sends that may have run the request.
	possibleRuns int
	// hasReservation says that memory is reserved for the request.
	hasReservation bool
	// hasSentHeader says that the caller has been sent the answer's header.
	hasSentHeader bool
	// hasBegun says that the last send has brought an event.
	hasBegun bool
	// speed measures the present answer.
	speed answerSpeed
	// hasStalled says that a stall was already counted.
	hasStalled bool
	// version is the only version of engines that may continue the stream; empty before it
	// has begun, or if that is not known.
	version string
	// isUnconfirmed says that another incarnation of the engine may be the one that answers,
	// so that its version is not known.
	isUnconfirmed bool
	// lastEventID is the id of the last event sent to the caller.
	lastEventID string
	// source is the engine that holds the prompt's KV cache, until sourceExpiry. It
	// is used again if the decode engine had no room and has the same version.
	source        tlcall.Source
	sourceVersion string
	sourceExpiry  time.Time
	// isUnreached says that the last send reached no engine, so that the next is no extra one.
	isUnreached bool
	// lastFailure is how the last send failed.
	lastFailure error
}

func (x *exchange) serveGeneration() {
	ctx, stop := x.context()
	defer stop()
	version, refusal := x.findOrigin(ctx)
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	g := &generation{x: x, ctx: ctx, reservation: x.call.ID, version: version, lastEventID: x.call.ResumeAfter, possibleRuns: x.earlierRuns()}
	defer g.releaseReservation()
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

// attempt tries to serve the request once. It reports whether the answer is
// complete, and returns an error if no other attempt can help.
func (g *generation) attempt() (bool, *tlverdict.Error) {
	if g.x.mustForward() {
		return g.attemptForward()
	}
	n, err := g.prepare()
	if g.x.mustForward() && g.ctx.Err() == nil {
		g.unpick(n.placement)
		return g.attemptForward()
	}
	if err != nil {
		return false, err
	}
	r, err := g.decode(n.placement, n.source)
	if err != nil || r == nil {
		return false, err
	}
	return g.forward(n.placement, r)
}

// prepare finds engines with room, charges a retry and has the prompt read, unless
// this was done ahead.
func (g *generation) prepare() (preparation, *tlverdict.Error) {
	if n := g.prepared; n != nil && !n.isForwarded {
		g.prepared = nil
		return *n, nil
	}
	g.prepared = nil
	p, err := g.findAdmitted()
	if err != nil {
		return preparation{}, err
	}
	if err := g.chargeRetry(&p); err != nil {
		g.unpick(p)
		return preparation{}, err
	}
	s, err := g.prefill(p)
	return preparation{placement: p, source: s}, err
}

// decode sends the request to its decode engine; it returns neither answer nor error if another attempt may help.
func (g *generation) decode(p placement, s tlcall.Source) (*tlsend.Reply, *tlverdict.Error) {
	x := g.x
	g.decodeSends++
	g.hasBegun = false
	x.sends++
	x.step("sent", logrus.Fields{
		"Endpoint":    p.decode.ID,
		"Version":     p.decode.Version,
		"IsSplit":     s.IsSet(),
		"After":       g.lastEventID,
		"LeftMs":      x.timeLeft().Milliseconds(),
		"SinceMs":     x.g.deps.Now().Sub(x.arrived).Milliseconds(),
		"FirstWaitMs": g.headerTimeout().Milliseconds(),
	})
	began := x.g.deps.Now()
	ctx, stop := context.WithCancel(g.ctx)
	g.relocation = g.newRelocation(p, stop)
	g.relocation.await(g.headerTimeout(), g.possibleRuns+1)
	unwatch := g.watchSilence(p, s)
	r, err := x.g.deps.Sender.Send(ctx, p.decode, x.request, tlcall.Send{
		TimeLeft:    x.timeLeftForEndpoint(),
		Source:      s,
		ResumeAfter: g.lastEventID,
		IsAdmitted:  true,
	})
	unwatch()
	if err == nil {
		r.Body = &cancelOnClose{r.Body, stop}
	}
	if !g.relocation.progress() {
		if err == nil {
			_ = r.Body.Close()
		}
		return nil, g.moved(p, began)
	}
	if err == nil && !r.Answer.NotRun {
		return r, nil
	}
	g.relocation.stop()
	if err != nil {
		stop()
		return nil, g.sendFailed(p, began, err)
	}
	_ = r.Body.Close()
	return nil, g.engineRefused(p, r)
}

// moved continues at another engine after the one before sent no header in time.
func (g *generation) moved(from placement, began time.Time) *tlverdict.Error {
	s := g.takeSuccessor()
	if s == nil {
		g.possibleRuns++
		return g.finalError(nil)
	}
	g.moveTo(s, from, began)
	return nil
}

// watchSilence reports an engine that stays silent to the service's home instance,
// so that other requests avoid it; this one may have run there and keeps waiting.
// For a request that can be moved elsewhere its relocation does that.
func (g *generation) watchSilence(p placement, s tlcall.Source) (unwatch func() bool) {
	if !g.hasReservation || g.mayRetryAfterSilence() {
		return func() bool { return false }
	}
	after := silenceTimeoutWithPrefill
	if s.IsSet() {
		after = silenceTimeout
	}
	t := time.AfterFunc(after, func() {
		if g.x.checkCut(g.ctx, tlhealth.TimedOut) {
			return
		}
		g.x.step("engine silent", logrus.Fields{"Endpoint": p.decode.ID})
		g.x.g.deps.Count(EngineSilent)
		g.report(tlbooking.DecodeSilent, p.decode.ID)
	})
	return t.Stop
}

// mayRetryAfterSilence reports whether another engine can still be tried when this one is silent.
func (g *generation) mayRetryAfterSilence() bool {
	return g.mayResume() && g.possibleRuns+1 < g.x.route.Attempts
}

// headerTimeout is the wait for an answer's header after which another engine is
// sought if the request may be resumed there; else it lasts until the deadline.
func (g *generation) headerTimeout() time.Duration {
	if g.mayRetryAfterSilence() {
		return max(g.x.route.Objective, minHeaderTimeout)
	}
	return max(g.x.timeLeft(), 0)
}

// mayResume reports whether the request may be resumed at another endpoint. A stream that
// has begun can't where its version is not known.
func (g *generation) mayResume() bool {
	hasUnknownVersion := g.hasSentHeader && g.version == ""
	return g.x.route.Resumable && !g.x.isTrial && !hasUnknownVersion
}

// sendFailed handles a send that got no answer.
func (g *generation) sendFailed(p placement, began time.Time, err error) *tlverdict.Error {
	x := g.x
	var f *tlsend.Error
	if !errors.As(err, &f) {
		f = &tlsend.Error{Endpoint: p.decode.ID, MayHaveRun: true, Outcome: tlhealth.Broken, Err: err}
	}
	x.checkCut(g.ctx, f.Outcome)
	x.observe(p.decode.ID, f.Outcome, x.g.deps.Now().Sub(began))
	x.step("send failed", logrus.Fields{
		"Endpoint":   p.decode.ID,
		"Outcome":    f.Outcome.String(),
		"MayHaveRun": f.MayHaveRun,
		"Cause":      f.Error(),
	})
	if f.MayHaveRun {
		g.possibleRuns++
	}
	g.isUnreached = f.Outcome == tlhealth.ConnectFailed || f.IsUnsent
	g.sourceExpiry = time.Time{}
	switch f.Outcome {
	case tlhealth.Broken:
		if isBreak(f) {
			x.reportBreak(p.decode)
		}
		g.abandonEngine(p.decode.ID, tlbooking.DecodeConnectionBroke)
	case tlhealth.Refused:
		g.abandonEngine(p.decode.ID, tlbooking.DecodeFull)
	}
	return g.attemptFailed(p, f)
}

// engineRefused handles an engine's answer that it did not run the request.
func (g *generation) engineRefused(p placement, r *tlsend.Reply) *tlverdict.Error {
	g.x.g.deps.Directory.Observe(g.x.g.deps.Now(), p.decode.ID, tlhealth.Refused, 0)
	g.x.step("send failed", logrus.Fields{
		"Endpoint":   p.decode.ID,
		"Outcome":    tlhealth.Refused.String(),
		"MayHaveRun": false,
		"Cause":      r.Status,
	})
	if r.Answer.IsMisdirected {
		return g.attemptFailed(p, errNotRun)
	}
	g.abandonEngine(p.decode.ID, tlbooking.DecodeFull)
	return g.attemptFailed(p, errNotRun)
}

var errNotRun = errors.New("the engine did not run the request")

// attemptFailed releases the reservation; it returns an error if no other attempt can help.
func (g *generation) attemptFailed(p placement, cause error) *tlverdict.Error {
	g.lastFailure = cause
	if g.x.isCallerGone() {
		g.releaseReservation()
	}
	if !slices.Contains(g.avoid, p.decode.ID) {
		g.engineFailed(p.decode.ID)
	}
	if g.ctx.Err() != nil || !g.mayRetry() {
		return g.finalError(nil)
	}
	return nil
}

func (g *generation) mayRetry() bool {
	if g.x.timeLeft() < minTimeLeft || g.decodeSends >= maxDecodeSends {
		return false
	}
	if g.possibleRuns == 0 {
		return true
	}
	return g.mayResume() && g.possibleRuns < g.x.route.Attempts
}

// finalError returns the most informative error for the caller; e is returned only where the request did not run.
func (g *generation) finalError(e *tlverdict.Error) *tlverdict.Error {
	switch {
	case g.x.isCallerGone():
		return callerGoneError(g.possibleRuns > 0)
	case g.possibleRuns > 0 && g.ctx.Err() != nil:
		return tlverdict.New(tlverdict.EndpointTimeout, "no engine answered in time")
	case g.possibleRuns > 0:
		return tlverdict.New(tlverdict.EndpointFailed, "the engine failed: %v", g.lastFailure)
	case e != nil && tlverdict.NotRun(e):
		return e
	}
	return tlverdict.New(tlverdict.PoolBusy, "no engine accepted the request: %v", g.lastFailure).WithRetryAfter(busyRetryAfter)
}

// refuse answers with an error, or closes the connection if the header has been sent.
func (g *generation) refuse(e *tlverdict.Error) {
	if g.hasSentHeader {
		g.releaseReservation()
		g.x.g.deps.Count(string(e.Reason))
		g.x.abort(e.Error())
	}
	g.x.refuse(e)
}

// forward sends an endpoint's answer to the caller; its results are those of attempt.
func (g *generation) forward(p placement, r *tlsend.Reply) (bool, *tlverdict.Error) {
	if r.Status >= http.StatusMultipleChoices {
		return g.forwardFailure(p, r)
	}
	err := g.confirm(p.decode, r)
	g.isUnconfirmed = err != nil
	if err != nil && g.lastEventID != "" {
		return g.forwardUnconfirmed(p, r, err)
	}
	return g.forwardEvents(p, r)
}

// forwardUnconfirmed drops an answer that another incarnation of the engine may have given.
func (g *generation) forwardUnconfirmed(p placement, r *tlsend.Reply, cause error) (bool, *tlverdict.Error) {
	g.relocation.stop()
	g.possibleRuns++
	_ = r.Body.Close()
	g.x.g.deps.Count(Unconfirmed)
	g.x.step("unconfirmed", logrus.Fields{"Endpoint": p.decode.ID, "Incarnation": p.decode.Incarnation, "Cause": cause.Error()})
	g.abandonEngine(p.decode.ID, tlbooking.DecodeFull)
	return false, g.attemptFailed(p, cause)
}

// forwardFailure sends an endpoint's failure to the caller if no other attempt can help.
func (g *generation) forwardFailure(p placement, r *tlsend.Reply) (bool, *tlverdict.Error) {
	g.relocation.stop()
	g.possibleRuns++
	a, err := g.x.bufferWhole(g.ctx, r, g.x.checkEndpoint(p.decode))
	if err != nil {
		return false, g.attemptFailed(p, err)
	}
	g.x.g.deps.Directory.Observe(g.x.g.deps.Now(), p.decode.ID, tlhealth.ServerError, 0)
	if g.hasSentHeader || g.mayRetry() {
		a.close()
		return false, g.attemptFailed(p, errEngineFailure)
	}
	g.engineFailed(p.decode.ID)
	g.x.forward(a)
	return true, nil
}

var errEngineFailure = errors.New("the engine answered with a failure")
