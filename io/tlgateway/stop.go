package tlgateway

import (
	"time"

	"trefoillanding/core/tlverdict"
)

// lateRetryAfter is the Retry-After of a request that comes too late to an instance which
// stops: another instance can serve it at once.
const lateRetryAfter = 10 * time.Millisecond

// EndBy has requests refused that may last beyond a time, at which the instance stops.
func (g *Gateway) EndBy(t time.Time) {
	g.endBy.Store(&t)
}

// End ends the requests that are served, of which those without an answer get one, and has
// all later ones refused.
func (g *Gateway) End() {
	g.EndBy(time.Time{})
	g.end()
}

// refuseLate returns the refusal of a request that came while the instance stops and may
// not end before it; nil if it can.
func (x *exchange) refuseLate() *tlverdict.Error {
	t := x.g.endBy.Load()
	if t == nil || x.deadline.Before(*t) {
		return nil
	}
	return tlverdict.New(tlverdict.Draining, "the instance stops before the request could end").WithRetryAfter(lateRetryAfter)
}
