package tlgateway

import (
	"context"
	"errors"

	"trefoillanding/io/tlbooking"
	"trefoillanding/io/tlsend"
)

// isEngineCrash reports whether a stream may have ended with its engine: not where
// this side ended or closed it, nor where the engine sent bytes that are no answer.
func (g *generation) isEngineCrash(r *tlsend.Reply, err error) bool {
	if g.ctx.Err() != nil || errors.Is(err, context.Canceled) || errors.Is(err, errEventTooLarge) {
		return false
	}
	c, ok := r.Body.(*cancelOnClose)
	return !ok || !c.isClosed.Load()
}

// reportCrash reports, ahead of the break itself, that the connection to an engine
// broke before the answer had begun; isCrash says that the engine may have ended.
func (g *generation) reportCrash(p placement, isCrash bool) {
	if isCrash && g.hasReservation && !g.hasBegun {
		g.report(tlbooking.BrokeUnbegun, p.decode.ID)
	}
}
