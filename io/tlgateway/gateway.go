package tlgateway

import (
	"net/http"
	"sync/atomic"

	"trefoillanding/core/tlroute"
	"trefoillanding/core/tlverdict"
)

// Gateway serves callers.
type Gateway struct {
	d    Deps
	open atomic.Int64
}

// New returns a gateway.
func New(d Deps) *Gateway {
	return &Gateway{d: d}
}

// InFlight counts the requests that are being served.
func (g *Gateway) InFlight() int {
	return int(g.open.Load())
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	if g.d.IsDraining() {
		w.Header().Set("Connection", "close")
	}
	x := g.begin(w, r)
	defer x.end()
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

// prepare finds the route and the service and reads the body.
func (x *exchange) prepare() *tlverdict.Error {
	t := x.g.d.Table()
	if t == nil || !x.g.d.Directory.IsLoaded() {
		return tlverdict.New(tlverdict.NoConfig, "no configuration is known yet").WithRetryAfter(startRetryAfter)
	}
	route, ok := t.Match(x.r.Host, x.path())
	if !ok {
		return tlverdict.New(tlverdict.UnknownPath, "no route matches")
	}
	x.take(t, route)
	if x.call.ID == "" {
		return tlverdict.New(tlverdict.BadHeader, "the request has no id")
	}
	if x.left() < leastLeft {
		return tlverdict.New(tlverdict.WaitTooLong, "no time is left")
	}
	x.g.d.Budget.Earn(x.service.Name)
	return x.readBody(t.Limits.BodyBytes)
}
