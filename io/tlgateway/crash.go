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

// reportBreak reports whether a run had begun when the connection to its engine broke,
// ahead of the break itself; isCrash says that the engine may have ended.
func (g *generation) reportBreak(p placement, isCrash, hasBegun bool) {
	if !g.hasReservation {
		return
	}
	if hasBegun {
		g.report(tlbooking.BrokeMidway, p.decode.ID)
		return
	}
	if isCrash {
		g.report(tlbooking.BrokeUnbegun, p.decode.ID)
	}
}
