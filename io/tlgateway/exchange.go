package tlgateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlroute"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlsend"
	"trefoillanding/io/tltrace"
)

const (
	// startRetryAfter is when to come back to an instance that has just started.
	startRetryAfter = 500 * time.Millisecond
	// bodyWithin bounds the reading of a body.
	bodyWithin = 10 * time.Second
	// answerMargin is kept of a deadline for the answer's way to the caller.
	answerMargin = 10 * time.Millisecond
	// unboundedWait bounds requests of callers that set no deadline on routes without a timeout.
	unboundedWait = 10 * time.Minute
)

// exchange is one request with its answer.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	call    tlcall.Call
	route   tlroute.Route
	service tlroute.Service
	request tlsend.Request
	trace   *tltrace.Trace
	arrived time.Time
	// until is when the caller or the route gives up.
	until time.Time
	// sends counts what was sent to endpoints, prefills included.
	sends  int
	failed bool
}

func (g *Gateway) begin(w http.ResponseWriter, r *http.Request) *exchange {
	c := g.d.Wire.DecodeCall(r.Header)
	return &exchange{
		g:       g,
		w:       w,
		r:       r,
		call:    c,
		arrived: g.d.Now(),
		trace:   g.d.Traces.Begin(c.ID),
	}
}

// path returns the path as it was sent, without its query.
func (x *exchange) path() string {
	path, _, _ := strings.Cut(x.target(), "?")
	return path
}

// target returns path and query as they were sent.
func (x *exchange) target() string {
	if strings.HasPrefix(x.r.RequestURI, "/") {
		return x.r.RequestURI
	}
	return x.r.URL.RequestURI()
}

// take notes the route of the request and what follows from it.
func (x *exchange) take(t *tlroute.Table, r tlroute.Route) {
	x.route = r
	x.service = t.Service(r.Pick(x.g.d.Random()))
	x.until = x.arrived.Add(unboundedWait)
	for _, d := range []time.Duration{x.call.Timeout, r.Timeout} {
		if d > 0 && x.arrived.Add(d).Before(x.until) {
			x.until = x.arrived.Add(d)
		}
	}
	x.until = x.until.Add(-answerMargin)
	x.step("routed", logrus.Fields{
		"Route":   r.Name,
		"Service": x.service.Name,
		"Version": t.Version,
		"Kind":    r.Kind.String(),
		"LeftMs":  x.left().Milliseconds(),
	})
}

// left returns the time until the caller or the route gives up.
func (x *exchange) left() time.Duration {
	return x.until.Sub(x.g.d.Now())
}

// leftToSay returns the time that an endpoint is told; a send without one would have no end.
func (x *exchange) leftToSay() time.Duration {
	return max(x.left(), time.Millisecond)
}

// context returns a context that ends with the caller or at its deadline.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(x.r.Context(), x.left())
}

// isGone says whether the caller has left.
func (x *exchange) isGone() bool {
	return errors.Is(x.r.Context().Err(), context.Canceled)
}

func (x *exchange) step(event string, f logrus.Fields) {
	x.trace.Step(event, f)
}

// readBody reads the whole body, so that it can be sent to more than one endpoint.
func (x *exchange) readBody(limit int64) *tlverdict.Error {
	x.request = tlsend.Request{
		ID:     x.call.ID,
		Method: x.r.Method,
		Target: x.target(),
		Host:   x.r.Host,
		Header: x.g.d.Wire.CleanRequest(x.r.Header),
	}
	if x.r.ContentLength == 0 {
		return nil
	}
	c := http.NewResponseController(x.w)
	_ = c.SetReadDeadline(time.Now().Add(bodyWithin))
	body := x.r.Body
	if limit > 0 {
		body = http.MaxBytesReader(x.w, body, limit)
	}
	b, err := readAll(body, x.r.ContentLength)
	if err == nil {
		x.request.Body = b
		// The server watches the connection for the caller's leaving from now on, without a deadline.
		_ = c.SetReadDeadline(time.Time{})
		return nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return tlverdict.New(tlverdict.BodyTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	return tlverdict.New(tlverdict.BadBody, "the body ended early: %v", err)
}

func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	b := make([]byte, length)
	_, err := io.ReadFull(r, b)
	return b, err
}

// callerLeft is the end of a request whose caller is gone, whom nobody answers:
// it tells the log whether the request may have run.
func callerLeft(mayHaveRun bool) *tlverdict.Error {
	e := tlverdict.New(tlverdict.CallerGone, "the caller left")
	if mayHaveRun {
		e.Verdict = tlwire.VerdictMayHaveRun
	}
	return e
}

// refuse answers with a failure of the router's own.
func (x *exchange) refuse(e *tlverdict.Error) {
	x.failed = true
	x.g.d.Count(string(e.Reason))
	x.step("refused", logrus.Fields{
		"Reason":       string(e.Reason),
		"Verdict":      string(e.Verdict),
		"Status":       e.Status,
		"Message":      e.Message,
		"RetryAfterMs": e.RetryAfter.Milliseconds(),
	})
	if x.isGone() {
		// A handler that returns without a word answers 200.
		panic(http.ErrAbortHandler)
	}
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Trefoil-Verdict", string(e.Verdict))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	x.w.WriteHeader(e.Status)
	writeJSON(x.w, e.Body())
}

// abort ends the connection, so that an answer which has begun does not look complete.
func (x *exchange) abort(why string) {
	x.failed = true
	x.g.d.Count(Aborted)
	x.step("aborted", logrus.Fields{"Reason": why})
	panic(http.ErrAbortHandler)
}

func (x *exchange) end() {
	x.trace.End(x.failed)
}
