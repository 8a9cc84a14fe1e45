package tlgateway

import (
	"context"
	"errors"
	"net"
	"syscall"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlhealth"
	"trefoillanding/core/tlverdict"
	"trefoillanding/io/tlsend"
)

// isBreak reports whether a send failed since its connection broke, after the endpoint may
// have begun on the request.
func isBreak(err error) bool {
	var f *tlsend.Error
	return errors.As(err, &f) && f.Outcome == tlhealth.Broken && f.MayHaveRun && isCrash(f.Err)
}

// isCrash reports whether a connection that broke with err may have ended with its
// endpoint: a time-out may be a cut of the network or a freeze as well.
func isCrash(err error) bool {
	var n net.Error
	isTimeout := errors.As(err, &n) && n.Timeout()
	isUnreachable := errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
	return err != nil && !isTimeout && !isUnreachable && !errors.Is(err, context.Canceled)
}

// isEngineCrash reports whether a stream that broke with err may have ended with its
// engine: not where this side ended it, nor where the engine sent bytes that are no answer.
func (g *generation) isEngineCrash(err error) bool {
	isOwnEnd := g.ctx.Err() != nil || errors.Is(err, errMoved)
	return !isOwnEnd && isCrash(err) && !errors.Is(err, errEventTooLarge) && !errors.Is(err, errNotEvents)
}

// reportBreak reports that an endpoint may have ended under the request.
func (x *exchange) reportBreak(e tlendpoint.Endpoint) {
	x.g.deps.Guard.Broke(e, x.parts)
}

// checkQuarantine returns the error of a request that is kept from all endpoints, unless
// it is to show whether that is right.
func (x *exchange) checkQuarantine() *tlverdict.Error {
	e := x.quarantineRefusal()
	if e != nil && x.g.deps.Guard.Try(x.r.Context(), x.service.Name, x.parts) {
		x.isTrial = true
		x.step("tried in spite of quarantine", nil)
		return nil
	}
	return e
}

// quarantineRefusal returns the error of a request that is kept from all endpoints, since
// those that it reached have crashed; nil if it is not.
func (x *exchange) quarantineRefusal() *tlverdict.Error {
	if x.isTrial {
		return nil
	}
	left, held := x.g.deps.Guard.Held(x.service.Name, x.parts)
	if !held {
		return nil
	}
	return tlverdict.New(tlverdict.PartQuarantined, "endpoints crashed on the request, or on a part of its prompt").WithRetryAfter(left)
}
