package trefoillanding

import (
	"context"
	"time"

	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlsweep"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlorphan"
	"trefoillanding/io/tlpeer"
)

// kindHolds is the kind of message that asks an owner about attempts.
const kindHolds = "Holds"

func (i *Instance) orphanDeps() tlorphan.Deps {
	return tlorphan.Deps{
		Engines: i.homes.Engines,
		List:    i.engines.List,
		Sweep:   i.engines.Sweep,
		Fate:    i.ownerFate,
		Owns:    i.holds,
		Now:     time.Now,
		Count:   i.metrics.Group("Orphans", tlorphan.Counters()...).Add,
	}
}

var sweepFates = map[tlmember.Fate]tlsweep.Fate{
	tlmember.Alive:     tlsweep.Live,
	tlmember.Suspected: tlsweep.Suspect,
	tlmember.Gone:      tlsweep.Gone,
}

func (i *Instance) ownerFate(o tlsweep.Owner) tlsweep.Fate {
	return sweepFates[i.gossip.OwnerFate(o.Name, o.Incarnation)]
}

// holds asks an owner which attempts it still serves.
func (i *Instance) holds(ctx context.Context, o tlsweep.Owner, attempts []string) ([]bool, error) {
	c := tlwire.OwnsCall{Incarnation: o.Incarnation, Requests: attempts}
	if o.Name == i.settings.Name {
		return i.holdsHere(c), nil
	}
	a, err := tlpeer.Call[tlwire.OwnsCall, tlwire.OwnsAnswer](ctx, i.mesh, o.Name, kindHolds, c)
	return a.Owned, err
}

func (i *Instance) holdsHere(c tlwire.OwnsCall) []bool {
	if c.Incarnation != i.incarnation {
		return make([]bool, len(c.Requests))
	}
	return i.relay.Holds(c.Requests)
}
