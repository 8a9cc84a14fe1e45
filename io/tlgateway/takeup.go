package tlgateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlorigin"
	"trefoillanding/core/tlroute"
	"trefoillanding/core/tlverdict"
	"trefoillanding/io/tlregistry"
)

// originRetryAfter is the Retry-After of a take-up while the log of origins can't be read.
const originRetryAfter = 500 * time.Millisecond

// isTakeUp reports whether the request takes up a stream that an earlier one began.
func (x *exchange) isTakeUp() bool {
	return x.call.ResumeAfter != ""
}

// findOrigin finds which version began the stream that the request takes up, and goes on
// at its service; the error says that the stream can't go on.
func (x *exchange) findOrigin(ctx context.Context) (version string, refusal *tlverdict.Error) {
	if !x.isTakeUp() {
		return "", nil
	}
	o, err := x.g.deps.Origins.Find(ctx, x.service.Name, x.call.Resumes)
	x.step("origin", logrus.Fields{"Resumes": x.call.Resumes, "Service": o.Service, "Version": o.Version, "IsKnown": err == nil})
	switch {
	case errors.Is(err, tlregistry.ErrUnread):
		return "", tlverdict.New(tlverdict.OriginUnread, "which version began the stream can't be read now").WithRetryAfter(originRetryAfter)
	case err != nil:
		return "", tlverdict.New(tlverdict.OriginUnknown, "nobody knows which version began the stream")
	case !isTarget(x.route, o.Service):
		return "", tlverdict.New(tlverdict.OriginUnknown, "the route leads no more to the service that began the stream")
	}
	x.service = x.table.Service(o.Service)
	return o.Version, nil
}

func isTarget(r tlroute.Route, service string) bool {
	return slices.ContainsFunc(r.Targets, func(t tlroute.Target) bool { return t.Service == service })
}

// noteOrigin records which version begins or continues the stream, so that it goes on at no other one.
func (g *generation) noteOrigin(e tlendpoint.Endpoint) {
	if g.version == "" && !g.isUnconfirmed {
		g.version = e.Version
	}
	if g.version == "" || !g.x.route.Resumable {
		return
	}
	until := g.x.deadline
	if t := g.x.arrived.Add(g.x.call.Timeout); t.After(until) {
		until = t
	}
	g.x.g.deps.Origins.Note(tlorigin.Origin{Attempt: g.x.call.ID, Service: g.x.service.Name, Version: g.version, Until: until})
}
