package tlgateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlmemory"
	"trefoillanding/core/tlverdict"
	"trefoillanding/io/tlsend"
)

// maxBufferedBytes is the size up to which an answer is read before any of it is
// forwarded, so that a truncated answer can still be retried.
const maxBufferedBytes = 256 << 10

const (
	// minAnswerBytes and firstAnswerBytes bound the first size of an answer's buffer, which
	// is part of what a connection is counted with.
	minAnswerBytes   = 512
	firstAnswerBytes = 4 << 10
)

// firstAnswerSize returns the first size of the buffer of an answer of a length, or -1; one
// byte more tells the end of the answer.
func firstAnswerSize(length int64) int64 {
	return min(max(length+1, minAnswerBytes), firstAnswerBytes)
}

// Names of the gateway's counters other than the reasons of refusals.
const (
	// Aborted counts answers cut off after their header was sent.
	Aborted = "Aborted"
	// Answered counts endpoints' answers that were forwarded.
	Answered = "Answered"
	// Retried counts retries of plain requests.
	Retried = "SentAgain"
	// Requeued counts requests that an endpoint had no room for and that got another slot.
	Requeued = "Requeued"
	// Hedged counts hedged requests: a second send while the first is slow.
	Hedged = "Hedged"
	// BudgetSpent counts retries and hedged requests that the retry budget did not allow.
	BudgetSpent = "BudgetSpent"
	// PrefilledAtDecode counts prompts left to the decode engine to read.
	PrefilledAtDecode = "PrefilledAtDecode"
	// Moved counts generations that were moved away from a silent engine.
	Moved = "Moved"
	// Resumed counts streams that were resumed at another endpoint.
	Resumed = "Resumed"
	// Forwarded counts requests that were given to another instance, since this one is cut off from all endpoints.
	Forwarded = "Forwarded"
	// ForwardUnproved counts endpoints' answers passed on by another instance that were dropped,
	// since nothing proves that they are those to their requests.
	ForwardUnproved = "ForwardUnproved"
	// Unconfirmed counts answers that were dropped, since another incarnation of the engine may have given them.
	Unconfirmed = "Unconfirmed"
	// EndedWithEngine counts answers without a length or chunks, streams between two events
	// among them, that ended since their endpoint did.
	EndedWithEngine = "EndedWithEngine"
	// NotEvents counts answers that had something else than the next events of their stream.
	NotEvents = "NotEvents"
	// EngineSilent counts streams whose engine sent no header within its silence timeout.
	EngineSilent = "Muted"
	// Stalled counts streams with a pause between events above stallThreshold.
	Stalled = "Stalled"
	// ReleaseFailed counts KV cache handles that could not be freed.
	ReleaseFailed = "ReleaseFailed"
)

// CounterNames lists the gateway's counters other than the reasons of refusals.
var CounterNames = []string{Aborted, Answered, Retried, Requeued, Hedged, BudgetSpent, PrefilledAtDecode, Moved, Resumed, Forwarded, ForwardUnproved, Unconfirmed, EndedWithEngine, NotEvents, EngineSilent, Stalled, ReleaseFailed}

// Reasons lists the reasons for which the gateway refuses or fails a request.
var Reasons = []tlverdict.Reason{
	tlverdict.BadBody, tlverdict.BadHeader, tlverdict.BodyTooLarge, tlverdict.BodyTooSlow, tlverdict.MemoryFull, tlverdict.CallerGone,
	tlverdict.EndpointFailed, tlverdict.EndpointTimeout, tlverdict.Internal, tlverdict.NoConfig, tlverdict.ConfigBehind,
	tlverdict.NoEndpoint, tlverdict.CutOff, tlverdict.Draining, tlverdict.OriginUnknown, tlverdict.OriginUnread, tlverdict.VersionAway, tlverdict.VersionGone, tlverdict.PoolBusy, tlverdict.PartQuarantined, tlverdict.TooManyRequests, tlverdict.UnknownPath,
	tlverdict.WaitTooLong, tlverdict.UnknownKey, tlverdict.QuotaSpent,
}

// bufferedAnswer is an endpoint's answer whose first maxBufferedBytes have been read.
type bufferedAnswer struct {
	reply *tlsend.Reply
	body  []byte
	// rest is the unread remainder of an answer longer than that, else nil.
	rest io.ReadCloser
	// checkRest returns why the answer may not be whole once rest has ended.
	checkRest func() error
}

var errShortAnswer = errors.New("the answer is shorter than its declared length")

// bufferAnswer reads an answer to its end, or up to maxBufferedBytes, or as far as there
// is memory for it: the rest is read as the caller takes it.
func (x *exchange) bufferAnswer(r *tlsend.Reply) (bufferedAnswer, error) {
	b := make([]byte, 0, firstAnswerSize(r.Length))
	x.holding.add(tlmemory.Answer, int64(cap(b)))
	for {
		n, err := r.Body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			_ = r.Body.Close()
			return bufferedAnswer{}, err
		}
		if len(b) < cap(b) {
			continue
		}
		if len(b) >= maxBufferedBytes || !x.holding.add(tlmemory.Answer, int64(2*cap(b))) {
			return bufferedAnswer{reply: r, body: b, rest: r.Body}, nil
		}
		old := b
		b = make([]byte, len(old), 2*cap(old))
		copy(b, old)
		x.holding.add(tlmemory.Answer, -int64(cap(old)))
	}
	if err := r.Body.Close(); err != nil {
		return bufferedAnswer{}, err
	}
	if r.Length >= 0 && r.Length != int64(len(b)) {
		return bufferedAnswer{}, errShortAnswer
	}
	return bufferedAnswer{reply: r, body: b}, nil
}

// bufferWhole does the same and has a function check the answer at its end, which is that of
// rest if there is one.
func (x *exchange) bufferWhole(ctx context.Context, r *tlsend.Reply, check func(context.Context, *tlsend.Reply) error) (bufferedAnswer, error) {
	a, err := x.bufferAnswer(r)
	if err != nil {
		return a, err
	}
	if a.rest != nil {
		a.checkRest = func() error { return check(ctx, r) }
		return a, nil
	}
	return a, check(ctx, r)
}

// checkEndpoint returns a check of the answers of an endpoint: a length or chunks show that
// one is whole, and the end of its connection only if the endpoint has not ended too.
func (x *exchange) checkEndpoint(e tlendpoint.Endpoint) func(context.Context, *tlsend.Reply) error {
	return func(ctx context.Context, r *tlsend.Reply) error {
		if !r.EndsWithConnection {
			return nil
		}
		ctx, stop := context.WithTimeout(ctx, endCheckTimeout)
		defer stop()
		if !x.g.deps.MayHaveEnded(ctx, e) {
			return nil
		}
		x.g.deps.Count(EndedWithEngine)
		return errEngineEnded
	}
}

// checkForwarded returns why an answer that another instance passes on may not be whole:
// instances frame all of them.
func checkForwarded(_ context.Context, r *tlsend.Reply) error {
	if r.EndsWithConnection {
		return errUnframed
	}
	return nil
}

func (a bufferedAnswer) close() {
	if a.rest != nil {
		_ = a.rest.Close()
	}
}

// forward sends an endpoint's answer to the caller unchanged.
func (x *exchange) forward(a bufferedAnswer) {
	defer a.close()
	x.failed = a.reply.Status >= http.StatusInternalServerError
	x.g.deps.Count(Answered)
	took := x.g.deps.Now().Sub(x.arrived)
	x.g.deps.ObserveLatency(x.route.Kind, took)
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
		x.abort("the connection to the endpoint broke within its answer")
	}
	if a.checkRest == nil {
		return
	}
	if err := a.checkRest(); err != nil {
		x.abort(err.Error())
	}
}

func (x *exchange) copyHeader(r *tlsend.Reply) {
	x.hasAnswered = true
	h := x.w.Header()
	for name, values := range x.g.deps.Wire.CleanAnswer(r.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Without this the server would guess a type that the endpoint did not send.
		h["Content-Type"] = nil
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	if length := r.Header.Values("Content-Length"); x.r.Method == http.MethodHead && len(length) > 0 {
		// It frames nothing in an answer to HEAD.
		h["Content-Length"] = length
	}
	x.markForwarded("")
}

func writeJSON(w io.Writer, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		return
	}
	_, _ = w.Write(b)
}
