package tlgateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"trefoillanding/core/tlroute"
	"trefoillanding/core/tlverdict"
	"trefoillanding/io/tlsend"
)

const (
	// MaxBehind is how long an instance serves by a configuration that it knows to be older
	// than others': all take effect within two seconds.
	MaxBehind = 1500 * time.Millisecond
	// behindRetryAfter is the Retry-After of a request that another instance can serve at once.
	behindRetryAfter = 10 * time.Millisecond
)

// Gateway is the HTTP handler for callers' requests.
type Gateway struct {
	deps      Deps
	inFlight  atomic.Int64
	questions questions
	// endBy is when the last answers go out; nil unless the instance stops. ending is done then.
	endBy  atomic.Pointer[time.Time]
	ending context.Context
	end    context.CancelFunc
}

// New returns a gateway that uses d.
func New(d Deps) *Gateway {
	g := &Gateway{deps: d, questions: questions{asking: map[string]*question{}}}
	g.ending, g.end = context.WithCancel(context.Background())
	return g
}

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int {
	return int(g.inFlight.Load())
}

// ServeHTTP serves one request; while the instance drains, it also closes the connection.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.serve(w, r, nil)
}

// ServeForwarded serves one request that another instance forwarded.
func (g *Gateway) ServeForwarded(w http.ResponseWriter, r *http.Request, f Forwarding) {
	g.serve(w, r, &f)
}

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, f *Forwarding) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.deps.IsDraining() {
		w.Header().Set("Connection", "close")
	}
	x := g.begin(w, r, f)
	defer x.end()
	defer x.answerPanic()
	if err := x.prepare(); err != nil {
		x.refuse(err)
		return
	}
	if x.route.Kind == tlroute.Stream {
		x.serveGeneration()
		return
	}
	x.servePlain()
}

// behindError returns the refusal of a request that a newer configuration may treat in another way.
func behindError() *tlverdict.Error {
	return tlverdict.New(tlverdict.ConfigBehind, "a newer configuration isn't here yet").WithRetryAfter(behindRetryAfter)
}

// prepare finds the route and the service and reads the body.
func (x *exchange) prepare() *tlverdict.Error {
	t := x.g.deps.Table()
	if t == nil || !x.g.deps.Directory.IsLoaded() {
		return tlverdict.New(tlverdict.NoConfig, "no configuration is known yet").WithRetryAfter(startRetryAfter)
	}
	behind := x.g.deps.BehindFor()
	if behind >= MaxBehind {
		return behindError()
	}
	route, ok := t.Match(x.r.Host, x.path())
	if !ok && behind > 0 {
		return behindError()
	}
	if !ok {
		return tlverdict.New(tlverdict.UnknownPath, "no route matches")
	}
	if err := x.identifyOrganisation(t, route); err != nil {
		if behind > 0 && err.Reason == tlverdict.UnknownKey {
			return behindError()
		}
		return err
	}
	x.setRoute(t, route)
	if x.call.ID == "" {
		return tlverdict.New(tlverdict.BadHeader, "the request has no id")
	}
	if !tlsend.CanSend(x.target()) {
		return tlverdict.New(tlverdict.BadHeader, "the path holds bytes that no URL may hold")
	}
	if x.timeLeft() < minTimeLeft {
		return tlverdict.New(tlverdict.WaitTooLong, "too little time left before the deadline")
	}
	if x.forwarding == nil {
		x.g.deps.Budget.Earn(x.service.Name)
	}
	if err := x.chargeQuota(); err != nil {
		return err
	}
	if err := x.refuseLate(); err != nil {
		x.leaveUnread(t.Limits.BodyBytes)
		return err
	}
	if err := x.readBody(t.Limits.BodyBytes); err != nil {
		return err
	}
	if err := x.refuseLate(); err != nil {
		return err
	}
	if received := x.g.deps.OnReceived; received != nil && !received(x.r) {
		return callerGoneError(false)
	}
	x.identify()
	if err := x.refuseForwarded(); err != nil {
		return err
	}
	return x.checkQuarantine()
}
