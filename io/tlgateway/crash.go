package tlgateway

import (
	"context"
	"errors"

	"trefoillanding/io/tlbooking"
)

// isEngineCrash reports whether a stream that broke with err may have ended with its
// engine: not where this side ended it, nor where the engine sent bytes that are no answer.
func (g *generation) isEngineCrash(err error) bool {
	isOwnEnd := g.ctx.Err() != nil || errors.Is(err, context.Canceled) || errors.Is(err, errMoved)
	return !isOwnEnd && !errors.Is(err, errEventTooLarge)
}

// reportCrash reports, ahead of the break itself, that the connection to an engine
// broke before the answer had begun; isCrash says that the engine may have ended.
func (g *generation) reportCrash(p placement, isCrash bool) {
	if isCrash && g.hasReservation && !g.hasBegun {
		g.report(tlbooking.BrokeUnbegun, p.decode.ID)
	}
}
