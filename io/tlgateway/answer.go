package tlgateway

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlverdict"
	"trefoillanding/io/tlsend"
)

// wholeBytes is the largest answer that is read whole before it is passed on,
// so that one which breaks off can be asked for again.
const wholeBytes = 256 << 10

// The counters of the gateway that are no reasons of refusals.
const (
	Aborted      = "Aborted"
	AnsweredPass = "Answered"
	SentAgain    = "SentAgain"
	Hedged       = "Hedged"
	BudgetSpent  = "BudgetSpent"
	Direct       = "PrefilledAtDecode"
	Resumed      = "Resumed"
	// Muted counts the streams of which nothing had come for long.
	Muted = "Muted"
	// Stalled counts the streams whose events paused on their way.
	Stalled = "Stalled"
	// ReleaseFailed counts handles that could not be freed.
	ReleaseFailed = "ReleaseFailed"
)

// CounterNames lists the counters of the gateway that are no reasons of refusals.
var CounterNames = []string{Aborted, AnsweredPass, SentAgain, Hedged, BudgetSpent, Direct, Resumed, Muted, Stalled, ReleaseFailed}

// Reasons lists the reasons for which the gateway refuses or fails a request.
var Reasons = []tlverdict.Reason{
	tlverdict.BadBody, tlverdict.BadHeader, tlverdict.BodyTooLarge, tlverdict.CallerGone,
	tlverdict.EndpointFailed, tlverdict.EndpointTimeout, tlverdict.Internal, tlverdict.NoConfig,
	tlverdict.NoEndpoint, tlverdict.PoolBusy, tlverdict.TooManyRequests, tlverdict.UnknownPath,
	tlverdict.WaitTooLong,
}

// whole is an endpoint's answer that was read to its end, or as far as it is passed on at once.
type whole struct {
	reply *tlsend.Reply
	body  []byte
	// rest is what follows the body where the answer is too long to be read whole.
	rest io.ReadCloser
}

var errLength = errors.New("the answer is shorter than its length")

// readWhole reads an answer to its end, or to wholeBytes.
func readWhole(r *tlsend.Reply) (whole, error) {
	b, err := io.ReadAll(io.LimitReader(r.Body, wholeBytes))
	if err != nil {
		_ = r.Body.Close()
		return whole{}, err
	}
	if len(b) == wholeBytes {
		return whole{reply: r, body: b, rest: r.Body}, nil
	}
	if err := r.Body.Close(); err != nil {
		return whole{}, err
	}
	if r.Length >= 0 && r.Length != int64(len(b)) {
		return whole{}, errLength
	}
	return whole{reply: r, body: b}, nil
}

func (a whole) close() {
	if a.rest != nil {
		_ = a.rest.Close()
	}
}

// pass hands an endpoint's answer to the caller as it was given.
func (x *exchange) pass(a whole) {
	defer a.close()
	x.failed = a.reply.Status >= http.StatusInternalServerError
	x.g.d.Count(AnsweredPass)
	took := x.g.d.Now().Sub(x.arrived)
	x.g.d.ObserveLatency(x.route.Kind, took)
	x.step("answered", logrus.Fields{
		"Status": a.reply.Status,
		"Bytes":  len(a.body),
		"TookMs": took.Milliseconds(),
		"Sends":  x.sends,
	})
	x.copyHeader(a.reply)
	x.w.WriteHeader(a.reply.Status)
	if _, err := x.w.Write(a.body); err != nil {
		return
	}
	if a.rest == nil {
		return
	}
	if _, err := io.Copy(x.w, a.rest); err != nil {
		x.abort("the endpoint's answer broke off")
	}
}

func (x *exchange) copyHeader(r *tlsend.Reply) {
	h := x.w.Header()
	for name, values := range x.g.d.Wire.CleanAnswer(r.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// The server would guess a type that the endpoint did not give.
		h["Content-Type"] = nil
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
}

func writeJSON(w io.Writer, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		return
	}
	_, _ = w.Write(b)
}
