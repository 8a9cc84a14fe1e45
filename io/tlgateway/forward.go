package tlgateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlhealth"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlbooking"
	"trefoillanding/io/tlsend"
)

// The headers of the answers that an instance gives to one that forwards a request to it.
const (
	// headerForwarded is set in an endpoint's answer, which goes to the caller unchanged.
	headerForwarded = "Trefoil-Forwarded"
	// headerVersion names the version of the endpoint that began or continues a stream.
	headerVersion = "Trefoil-Version"
	// headerUnable is set in a refusal of an instance that can't serve any request now.
	headerUnable = "Trefoil-Unable"
	forwarded    = "Answered"
	unable       = "1"
)

const (
	// blameWindow is how long after a cut what goes wrong may still be the cut's doing.
	blameWindow = time.Second
	// maxRefusalBytes bounds the body of another instance's refusal.
	maxRefusalBytes = 64 << 10
	// cutRetryAfter is the Retry-After where no instance that was asked reaches endpoints.
	cutRetryAfter = 500 * time.Millisecond
)

// Forwarding is what an instance that is cut off from all endpoints says of a request
// that it gives to another one.
type Forwarding struct {
	// Elapsed is how long ago the request arrived.
	Elapsed time.Duration
	// Runs counts the sends that may have run it.
	Runs int
	// Organisation is the name of the caller's organisation; empty if there is none.
	Organisation string
}

// Forward is a request that is given to another instance.
type Forward struct {
	Forwarding
	Request tlsend.Request
	// ResumeAfter is the id of the last event that the caller has, and Resumes the ID of
	// the attempt that brought the first; empty if there is none.
	ResumeAfter, Resumes string
}

// isCut reports whether this instance is known to be cut off from all endpoints of the service.
func (x *exchange) isCut() bool {
	return x.g.deps.Prober.IsCut(x.service.Name)
}

// mayBeCut reports whether a send may have failed so since this instance is cut off.
func mayBeCut(o tlhealth.Outcome) bool {
	return o == tlhealth.ConnectFailed || o == tlhealth.Broken || o == tlhealth.TimedOut
}

// checkCut finds out whether a send failed since this instance is cut off from all endpoints.
func (x *exchange) checkCut(ctx context.Context, o tlhealth.Outcome) bool {
	if mayBeCut(o) {
		return x.g.deps.Prober.Check(context.WithoutCancel(ctx), x.service.Name)
	}
	return x.isCut()
}

// mustForward reports whether the request goes through another instance. One that came
// from another goes no further.
func (x *exchange) mustForward() bool {
	return x.forwarding == nil && !x.isTrial && x.isCut()
}

// observe records how a send went; what a cut made fail says nothing of the endpoint.
func (x *exchange) observe(id string, o tlhealth.Outcome, took time.Duration) {
	if mayBeCut(o) && x.isCut() {
		o = tlhealth.CallerGone
	}
	x.g.deps.Directory.Observe(x.g.deps.Now(), id, o, took)
}

// forwardRequest gives the request to another instance; it may run beside the exchange. The error is a *tlsend.Error,
// which wraps the refusal if the other instance refused it.
func (x *exchange) forwardRequest(ctx context.Context, after string, runs int) (*tlsend.Reply, string, error) {
	x.g.deps.Count(Forwarded)
	f := Forward{
		Forwarding:  Forwarding{Elapsed: x.g.deps.Now().Sub(x.arrived), Runs: runs, Organisation: x.organisationName()},
		Request:     x.request,
		ResumeAfter: after,
		Resumes:     x.call.Resumes,
	}
	f.Request.Header = x.g.deps.Wire.CleanAnswer(x.r.Header)
	// The key stays here; the name goes with the forwarding.
	x.g.deps.Wire.EncodeOrganisation(f.Request.Header, "")
	if after != "" && after != x.call.ResumeAfter && f.Resumes == "" {
		f.Resumes = x.call.ID
	}
	r, peer, err := x.g.deps.Forward(ctx, f)
	x.step("forwarded", logrus.Fields{"Peer": peer, "After": after, "Runs": runs, "IsAnswered": err == nil})
	if err != nil {
		return nil, peer, err
	}
	if r.Header.Get(headerForwarded) == forwarded {
		r.Header.Del(headerForwarded)
		return x.proveForwarded(r, peer)
	}
	defer r.Body.Close()
	e := decodeRefusal(r)
	return nil, peer, &tlsend.Error{Endpoint: peer, MayHaveRun: !tlverdict.NotRun(e), Outcome: tlhealth.Refused, Err: e}
}

// proveForwarded returns an endpoint's answer that another instance passed on, or an error
// if it is not proved to be that to the request.
func (x *exchange) proveForwarded(r *tlsend.Reply, peer string) (*tlsend.Reply, string, error) {
	err := tlsend.Unproved(x.request, tlcall.Whole, r)
	if err == nil {
		return r, peer, nil
	}
	_ = r.Body.Close()
	x.g.deps.Count(ForwardUnproved)
	x.step("forwarded answer dropped", logrus.Fields{"Peer": peer, "Cause": err.Error()})
	return nil, peer, &tlsend.Error{Endpoint: peer, MayHaveRun: true, Outcome: tlhealth.Broken, Err: err}
}

// decodeRefusal returns the refusal of another instance.
func decodeRefusal(r *tlsend.Reply) *tlverdict.Error {
	var k tlwire.Refusal
	b, err := io.ReadAll(io.LimitReader(r.Body, maxRefusalBytes))
	if err == nil {
		err = json.Unmarshal(b, &k)
	}
	if err != nil || k.Reason == "" {
		return tlverdict.New(tlverdict.EndpointFailed, "another instance's answer can't be read: status %d", r.Status)
	}
	e := tlverdict.New(tlverdict.Reason(k.Reason), "%s", k.Message)
	return e.WithRetryAfter(time.Duration(k.RetryAfter * float64(time.Second)))
}

// refusalOf returns the refusal of another instance that an error wraps; nil if there is none.
func refusalOf(err error) *tlverdict.Error {
	var e *tlverdict.Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// markForwarded tells the instance that forwarded the request that this is an endpoint's answer.
func (x *exchange) markForwarded(version string) {
	if x.forwarding == nil {
		return
	}
	x.w.Header().Set(headerForwarded, forwarded)
	if version != "" {
		x.w.Header().Set(headerVersion, version)
	}
}

// IsUnable reports whether another instance has refused a request since it can't serve any now.
func IsUnable(r *tlsend.Reply) bool {
	return r.Header.Get(headerForwarded) == "" && r.Header.Get(headerUnable) == unable
}

// isUnable reports whether a reason to refuse a request is this instance's own state.
func isUnable(r tlverdict.Reason) bool {
	return r == tlverdict.CutOff || r == tlverdict.Draining || r == tlverdict.ConfigBehind || r == tlverdict.NoConfig || r == tlverdict.UnknownPath
}

// refuseForwarded returns the refusal of a request of another instance where this one is cut off too.
func (x *exchange) refuseForwarded() *tlverdict.Error {
	if x.forwarding == nil || !x.isCut() {
		return nil
	}
	return CutOffError()
}

// CutOffError returns the refusal of a request that no instance can serve which was asked.
func CutOffError() *tlverdict.Error {
	return tlverdict.New(tlverdict.CutOff, "no instance that was asked reaches an endpoint").WithRetryAfter(cutRetryAfter)
}

// attemptForward gives the generation to another instance; its results are those of attempt.
func (g *generation) attemptForward() (bool, *tlverdict.Error) {
	g.releaseReservation()
	g.prepared, g.relocation = nil, nil
	g.hasBegun, g.isUnconfirmed = false, false
	if g.possibleRuns > 0 {
		if e := g.chargeSend(); e != nil {
			return false, e
		}
	}
	g.decodeSends++
	g.x.sends++
	r, peer, err := g.x.forwardRequest(g.ctx, g.lastEventID, g.possibleRuns)
	if err != nil {
		return false, g.forwardFailed(err)
	}
	p := placement{decode: tlendpoint.Endpoint{ID: peer, Version: r.Header.Get(headerVersion)}, isForwarded: true}
	r.Header.Del(headerVersion)
	if r.Status >= http.StatusMultipleChoices {
		return g.passFailureOn(r)
	}
	if !g.accepts(p.decode) {
		_ = r.Body.Close()
		g.possibleRuns++
		return false, g.finalError(nil)
	}
	return g.forwardEvents(p, r)
}

// forwardFailed handles a forward that brought no answer of an endpoint.
func (g *generation) forwardFailed(err error) *tlverdict.Error {
	g.lastFailure = err
	var f *tlsend.Error
	if !errors.As(err, &f) || f.MayHaveRun {
		g.possibleRuns++
	}
	if e := refusalOf(err); e != nil {
		return g.finalError(e)
	}
	if g.ctx.Err() != nil || !g.mayRetry() {
		return g.finalError(CutOffError())
	}
	return nil
}

// passFailureOn sends an endpoint's failure, which another instance passed on, to the caller.
func (g *generation) passFailureOn(r *tlsend.Reply) (bool, *tlverdict.Error) {
	g.possibleRuns++
	a, err := g.x.bufferWhole(g.ctx, r, checkForwarded)
	g.lastFailure = errEngineFailure
	if err != nil || g.hasSentHeader {
		return false, g.finalError(nil)
	}
	g.x.forward(a)
	return true, nil
}

// isBlame reports whether an event says that an engine failed.
func isBlame(e tlbooking.Event) bool {
	switch e {
	case tlbooking.PrefillFailed, tlbooking.PrefillConnectionBroke, tlbooking.DecodeFailed,
		tlbooking.DecodeConnectionBroke, tlbooking.DecodeSilent, tlbooking.Stalled:
		return true
	}
	return false
}

// endsReservation reports whether an event releases the reservation.
func endsReservation(e tlbooking.Event) bool {
	return e == tlbooking.DecodeFailed || e == tlbooking.DecodeConnectionBroke
}
