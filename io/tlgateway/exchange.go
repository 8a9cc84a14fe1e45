package tlgateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlaccess"
	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlquarantine"
	"trefoillanding/core/tlroute"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlmeter"
	"trefoillanding/io/tlsend"
	"trefoillanding/io/tltrace"
)

const (
	// startRetryAfter is the Retry-After of a new instance that has no configuration or endpoints yet.
	startRetryAfter = 500 * time.Millisecond
	// answerMargin is subtracted from a deadline so that the answer can still reach the caller.
	answerMargin = 10 * time.Millisecond
	// maxRequestTime bounds requests for which neither the caller nor the route sets a shorter limit.
	maxRequestTime = 10 * time.Minute
)

// errPanicked is the failure of a send or a search that panicked.
var errPanicked = errors.New("a fault of the gateway")

// exchange is one request and its answer.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	call    tlcall.Call
	table   *tlroute.Table
	route   tlroute.Route
	service tlroute.Service
	// organisation is the one whose key the caller has, or nil.
	organisation *tlaccess.Organisation
	// charge is what the request was charged to its organisation's quota; its cost is 0 if nothing.
	charge  tlmeter.Charge
	request tlsend.Request
	// parts holds the parts of the prompt that other requests may share, and the request itself.
	parts   []string
	trace   *tltrace.Trace
	arrived time.Time
	// deadline is when the caller's deadline or the route's timeout ends, less answerMargin.
	deadline time.Time
	// forwarding is set if another instance, which is cut off from all endpoints, forwarded the request.
	forwarding *Forwarding
	// isTrial says that the request is sent once though a part of it is in quarantine.
	isTrial bool
	// sends counts the sends to endpoints, prefills included.
	sends int
	// reservations counts the names of reservations beyond the first.
	reservations atomic.Int64
	// hasAnswered says that an answer to the caller has begun.
	hasAnswered bool
	failed      bool
	// holding is what the request holds of the instance's memory.
	holding holding
	// charged is what the request holds for its body.
	charged int64
	// unread is how much of a refused body may still be read, so that the refusal reaches its caller.
	unread int64
}

func (g *Gateway) begin(w http.ResponseWriter, r *http.Request, f *Forwarding) *exchange {
	c := g.deps.Wire.DecodeCall(r.Header)
	x := &exchange{
		g:          g,
		w:          w,
		r:          r,
		call:       c,
		arrived:    g.deps.Now(),
		trace:      g.deps.Traces.Begin(c.ID),
		forwarding: f,
		holding:    g.deps.Memory.begin(r.RemoteAddr),
	}
	if f != nil {
		x.arrived = x.arrived.Add(-f.Elapsed)
	}
	return x
}

// earlierRuns counts the sends of the instance that forwarded the request, if one did,
// that may have run it.
func (x *exchange) earlierRuns() int {
	if x.forwarding == nil {
		return 0
	}
	return x.forwarding.Runs
}

// path returns the path as sent, without its query.
func (x *exchange) path() string {
	path, _, _ := strings.Cut(x.target(), "?")
	return path
}

// target returns path and query as sent.
func (x *exchange) target() string {
	if strings.HasPrefix(x.r.RequestURI, "/") {
		return x.r.RequestURI
	}
	return x.r.URL.RequestURI()
}

// setRoute sets the route, picks the service by weight and sets the deadline.
func (x *exchange) setRoute(t *tlroute.Table, r tlroute.Route) {
	x.table, x.route = t, r
	x.service = t.Service(r.Pick(x.g.deps.Random()))
	x.deadline = x.arrived.Add(maxRequestTime)
	for _, d := range []time.Duration{x.call.Timeout, r.Timeout} {
		if d > 0 && x.arrived.Add(d).Before(x.deadline) {
			x.deadline = x.arrived.Add(d)
		}
	}
	x.deadline = x.deadline.Add(-answerMargin)
	f := logrus.Fields{
		"Route":   r.Name,
		"Service": x.service.Name,
		"Version": t.Version,
		"Kind":    r.Kind.String(),
		"LeftMs":  x.timeLeft().Milliseconds(),
	}
	if len(x.call.Parts) > 0 {
		f["Parts"] = x.call.Parts
	}
	if x.call.ResumeAfter != "" {
		f["Resumes"], f["After"] = x.call.Resumes, x.call.ResumeAfter
	}
	if x.forwarding != nil {
		f["Runs"] = x.forwarding.Runs
	}
	x.step("routed", f)
}

// timeLeft returns the time until the deadline.
func (x *exchange) timeLeft() time.Duration {
	return x.deadline.Sub(x.g.deps.Now())
}

// timeLeftForEndpoint returns the time limit to send to an endpoint; at least 1 ms, since 0 would mean no limit.
func (x *exchange) timeLeftForEndpoint() time.Duration {
	return max(x.timeLeft(), time.Millisecond)
}

// context returns a context that ends when the caller disconnects, at the deadline, or before the instance does.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	ctx, stop := context.WithTimeout(x.r.Context(), x.timeLeft())
	unregister := context.AfterFunc(x.g.ending, stop)
	return ctx, func() {
		unregister()
		stop()
	}
}

// isCallerGone reports whether the caller has disconnected.
func (x *exchange) isCallerGone() bool {
	return errors.Is(x.r.Context().Err(), context.Canceled)
}

func (x *exchange) step(event string, f logrus.Fields) {
	x.trace.Step(event, f)
}

// nextReservation returns a name for another reservation of the request.
func (x *exchange) nextReservation() string {
	return fmt.Sprintf("%s#%d", x.call.ID, x.reservations.Add(1))
}

// identify sets the parts of the request, which its repetitions share.
func (x *exchange) identify() {
	path, query, _ := strings.Cut(x.target(), "?")
	q := tlquarantine.Request{
		Method:        x.r.Method,
		Host:          x.r.Host,
		Path:          path,
		Prompt:        x.call.Prompt,
		Query:         query,
		Authorization: x.r.Header.Get("Authorization"),
		Body:          x.request.Body,
	}.Parts()
	x.parts = append(slices.Clone(x.call.Parts), q...)
	x.step("identified", logrus.Fields{"RequestParts": q})
}

// callerGoneError returns the error of a request whose caller has disconnected. Nobody
// receives it; it tells the log whether the request may have run.
func callerGoneError(mayHaveRun bool) *tlverdict.Error {
	e := tlverdict.New(tlverdict.CallerGone, "the caller left")
	if mayHaveRun {
		e.Verdict = tlwire.VerdictMayHaveRun
	}
	return e
}

// refuse answers with an error of the router itself.
func (x *exchange) refuse(e *tlverdict.Error) {
	x.failed = true
	x.giveBackCharge(e)
	x.g.deps.Count(string(e.Reason))
	x.step("refused", logrus.Fields{
		"Reason":       string(e.Reason),
		"Verdict":      string(e.Verdict),
		"Status":       e.Status,
		"Message":      e.Message,
		"RetryAfterMs": e.RetryAfter.Milliseconds(),
	})
	// A body that is late ends the context of its request too.
	if x.isCallerGone() && e.Reason != tlverdict.BodyTooSlow {
		// If a handler returns without writing anything, the server answers 200.
		panic(http.ErrAbortHandler)
	}
	x.hasAnswered = true
	h := x.w.Header()
	if x.unread > 0 {
		x.endAfterAnswer()
	}
	if x.forwarding != nil && isUnable(e.Reason) {
		h.Set(headerUnable, unable)
	}
	h.Set("Content-Type", "application/json")
	h.Set("Trefoil-Verdict", string(e.Verdict))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", retryAfterText(e.RetryAfter))
	}
	x.w.WriteHeader(e.Status)
	writeJSON(x.w, e.Body())
	x.discardBody()
}

// retryAfterText returns a wait in seconds, rounded up to a millisecond: a caller that
// came back sooner, or at once, would be refused again.
func retryAfterText(d time.Duration) string {
	d = (d + time.Millisecond - 1).Truncate(time.Millisecond)
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// abort closes the connection, so that a partly sent answer does not look complete.
func (x *exchange) abort(why string) {
	x.failed = true
	x.g.deps.Count(Aborted)
	x.step("aborted", logrus.Fields{"Reason": why})
	panic(http.ErrAbortHandler)
}

// answerPanic answers a request whose handler panicked, or closes its connection if an
// answer has begun. The server would close it in any case, and report nothing.
func (x *exchange) answerPanic() {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler {
		panic(v)
	}
	x.g.deps.OnPanic(x.call.ID, v)
	e := tlverdict.New(tlverdict.Internal, "the request met a fault of the gateway")
	if x.hasAnswered {
		x.g.deps.Count(string(e.Reason))
		x.abort(e.Error())
	}
	x.refuse(e)
}

// recovered reports a panic outside of the handler, which must not end the process; v
// is what recover returned.
func (x *exchange) recovered(v any) {
	if v == nil {
		return
	}
	x.g.deps.Count(string(tlverdict.Internal))
	x.g.deps.OnPanic(x.call.ID, v)
}

func (x *exchange) end() {
	x.holding.end()
	x.trace.End(x.failed)
}
