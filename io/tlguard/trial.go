package tlguard

import (
	"context"
	"time"

	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
)

const (
	// trialTimeout bounds a question to the home.
	trialTimeout = 250 * time.Millisecond
	// trialPause is the least time between two questions on one service: repetitions of a
	// request in quarantine come often.
	trialPause = 250 * time.Millisecond
)

// Try reports whether a request may be sent though a part of it is in quarantine: once,
// to a single endpoint, to see whether the part was blamed wrongly. The home of the
// service decides it for all instances.
func (g *Guard) Try(ctx context.Context, name string, parts []string) bool {
	now, home := g.o.Now(), g.o.Home(name)
	g.mu.Lock()
	s := g.serviceOf(name)
	_, mayTry := s.table.MayTry(now, parts)
	if mayTry && home != g.o.Self {
		mayTry = now.Sub(s.trialAsked) >= trialPause
		if mayTry {
			s.trialAsked = now
		}
	}
	g.mu.Unlock()
	if !mayTry || !g.isTrialGranted(ctx, home, tlwire.TrialCall{Service: name, Parts: parts}) {
		return false
	}
	g.o.Count(Tried)
	return true
}

func (g *Guard) isTrialGranted(ctx context.Context, home string, c tlwire.TrialCall) bool {
	if home == g.o.Self {
		return g.grantTrial(c)
	}
	ctx, stop := context.WithTimeout(ctx, trialTimeout)
	defer stop()
	a, err := tlpeer.Call[tlwire.TrialCall, tlwire.TrialAnswer](ctx, g.o.Mesh, home, kindTrial, c)
	return err == nil && a.IsGranted
}

// handleTrial answers an owner; only the home knows of all trials.
func (g *Guard) handleTrial(_ context.Context, _ tlpeer.Peer, c tlwire.TrialCall) (tlwire.TrialAnswer, error) {
	return tlwire.TrialAnswer{IsGranted: g.o.Home(c.Service) == g.o.Self && g.grantTrial(c)}, nil
}

// grantTrial decides on a trial as the home, and tells all of it, so that a home that
// takes over does not have it made again.
func (g *Guard) grantTrial(c tlwire.TrialCall) bool {
	now := g.o.Now()
	g.mu.Lock()
	t := g.serviceOf(c.Service).table
	part, trials, ok := t.Try(now, c.Parts)
	_, left, _ := t.Held(now, []string{part})
	beside, _ := t.Beside(part)
	g.mu.Unlock()
	if !ok {
		return false
	}
	g.logPart(c.Service, part).WithField("Trials", trials).Info("part in quarantine is tried")
	g.broadcast(tlwire.QuarantineNotice{Service: c.Service, Part: part, Left: left, Beside: beside, Trials: trials})
	return true
}
