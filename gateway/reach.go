package gateway

import (
	"context"
	"errors"
	"time"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
	"trefoillanding/io/tlprober"
	"trefoillanding/io/tlrandom"
)

func (i *Instance) proberOptions() tlprober.Options {
	return tlprober.Options{
		Services:  i.directory.Services,
		Endpoints: i.directory.InUse,
		IsDoubted: i.directory.IsFailing,
		Dial:      i.sender.Dial,
		QuietFor:  i.sender.QuietFor,
		OnChange:  func(string, bool) { i.sender.DropIdle() },
		Now:       time.Now,
		Random:    tlrandom.New(),
		Log:       i.log,
		Count:     i.counters.reach.Count,
	}
}

// kindEnded is the kind of message with which an instance asks another whether an endpoint
// refuses its connections too.
const kindEnded = "Ended"

// endedTimeout bounds the question to one instance.
const endedTimeout = 150 * time.Millisecond

var (
	errNotListed = errors.New("the incarnation of the endpoint is not listed here")
	errCutOff    = errors.New("this instance is cut off from all endpoints of the service")
)

// hasEndedForOthers reports whether an endpoint that refuses this instance's connections
// refuses those of another instance too: a cut with resets looks like its end. Where no
// other answers, it reports whether this instance reaches any endpoint at all.
func (i *Instance) hasEndedForOthers(ctx context.Context, e tlendpoint.Endpoint) bool {
	hasEnded, err := i.askWhetherEnded(ctx, e)
	if err != nil {
		return !i.prober.CheckAll(ctx)
	}
	return hasEnded
}

// askWhetherEnded asks other instances, until one answers, whether an endpoint refuses
// their connections too.
func (i *Instance) askWhetherEnded(ctx context.Context, e tlendpoint.Endpoint) (hasEnded bool, err error) {
	err = errNoPeer
	for _, peer := range i.forwardPeers() {
		ctx, stop := context.WithTimeout(ctx, endedTimeout)
		var a tlwire.EndedAnswer
		a, err = tlpeer.Call[tlwire.EndedCall, tlwire.EndedAnswer](ctx, i.mesh, peer, kindEnded, tlwire.EndedCall{Endpoint: e.ID, Incarnation: e.Incarnation})
		stop()
		if err == nil {
			return a.HasEnded, nil
		}
	}
	return false, err
}

// handleEndedCalls answers other instances that ask whether an endpoint has ended, other than on purpose.
func (i *Instance) handleEndedCalls() {
	tlpeer.Handle(i.mesh, kindEnded, func(ctx context.Context, _ tlpeer.Peer, c tlwire.EndedCall) (tlwire.EndedAnswer, error) {
		e, ok := i.directory.FindListed(c.Endpoint)
		if !ok || e.Incarnation != c.Incarnation {
			return tlwire.EndedAnswer{}, errNotListed
		}
		hasEnded := !e.IsDraining && i.sender.HasEnded(ctx, e)
		if hasEnded && i.prober.Check(ctx, e.Service) {
			return tlwire.EndedAnswer{}, errCutOff
		}
		return tlwire.EndedAnswer{HasEnded: hasEnded}, nil
	})
}
