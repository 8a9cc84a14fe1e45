package trefoillanding

import (
	"context"
	"net/netip"
	"time"

	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlsweep"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlorphan"
	"trefoillanding/io/tlpeer"
)

// newSweeper returns the sweeper that cancels attempts without an owner on the engines of
// the pools whose home this instance is.
func (i *Instance) newSweeper() *tlorphan.Sweeper {
	g := i.metrics.Group("Sweep", tlorphan.Counters()...)
	return tlorphan.New(tlorphan.Deps{
		Engines: i.homes.Engines,
		List:    i.engines.List,
		Sweep:   i.engines.CancelIfOwner,
		Liveness: func(o tlsweep.Owner) tlmember.Liveness {
			return i.gossip.OwnerLiveness(o.Name, o.Incarnation)
		},
		AskOwner: i.serves,
		Now:      time.Now,
		Count:    g.Add,
	}, tlorphan.NewTimes(), tlsweep.NewLimits(i.settings.Peers.OrphanGrace))
}

// load asks an engine for its load and also passes the report to the sweeper.
func (i *Instance) load(ctx context.Context, a netip.AddrPort) (tlwire.LoadReport, error) {
	l, err := i.engines.Load(ctx, a)
	if err == nil {
		i.sweeper.HandleLoadReport(a, l)
	}
	return l, err
}

// triggerSweeperOnLoss makes the sweeper run at once when an instance is no longer live,
// and returns the names of the live instances.
func (i *Instance) triggerSweeperOnLoss(before map[string]bool) map[string]bool {
	live := map[string]bool{}
	for _, m := range i.gossip.Live() {
		live[m.Name] = true
	}
	for name := range before {
		if !live[name] {
			i.sweeper.Trigger()
		}
	}
	return live
}

// serves asks an owner which of the attempts it is running.
func (i *Instance) serves(ctx context.Context, o tlsweep.Owner, attempts []string) ([]bool, error) {
	c := tlwire.ServesCall{Incarnation: o.Incarnation, Attempts: attempts}
	if o.Name == i.settings.Name {
		return i.servesHere(c), nil
	}
	a, err := tlpeer.Call[tlwire.ServesCall, tlwire.OwnsAnswer](ctx, i.mesh, o.Name, kindServes, c)
	return a.Owned, err
}

func (i *Instance) servesHere(c tlwire.ServesCall) []bool {
	if c.Incarnation != i.incarnation {
		return make([]bool, len(c.Attempts))
	}
	return i.relay.Serves(c.Attempts)
}
