package trefoillanding

import (
	"context"
	"time"

	"trefoillanding/core/tlselect"
	"trefoillanding/core/tlspill"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
	"trefoillanding/io/tlrandom"
	"trefoillanding/io/tlrelay"
)

// localState returns the state of this instance that it gossips to its peers.
func (i *Instance) localState() tlpeer.LocalState {
	generation, _ := i.current()
	return tlpeer.LocalState{
		Generation: generation,
		Draining:   i.draining.Load(),
		Open:       i.entry.InFlight(),
		Pools:      i.homes.Summaries(),
	}
}

// pollInstanceList reads the platform's instance list every Platform.ListEvery until
// ctx ends.
func (i *Instance) pollInstanceList(ctx context.Context) {
	t := time.NewTicker(i.settings.Platform.ListEvery)
	defer t.Stop()
	for {
		i.readInstanceList(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (i *Instance) readInstanceList(ctx context.Context) {
	l, isNew, err := i.platform.Instances(ctx)
	if err != nil {
		i.platformCounters.Count(listFailed)
		return
	}
	if isNew {
		i.listedLive.Store(mergeListedLive(l, i.listedLive.Load(), i.declares))
	}
	i.gossip.SetInstances(l)
}

// mergeListedLive returns for each listed instance whether its state is live. An
// instance that has left the list is kept as not live while the configuration
// declares it.
func mergeListedLive(l tlwire.InstanceList, before *map[string]bool, declares func(string) bool) *map[string]bool {
	live := map[string]bool{}
	if before != nil {
		for name := range *before {
			if declares(name) {
				live[name] = false
			}
		}
	}
	for _, v := range l.Instances {
		live[v.Name] = v.State == tlwire.InstanceStateLive
	}
	return &live
}

// declares reports whether the configuration in force names an endpoint.
func (i *Instance) declares(endpoint string) bool {
	_, c := i.current()
	return c != nil && c.HasEndpoint(endpoint)
}

// leaving reports whether the list shows an endpoint as leaving or has dropped it.
// An endpoint that was never listed is not leaving: the list may lag behind a new one.
func (i *Instance) leaving(endpoint string) bool {
	live := i.listedLive.Load()
	if live == nil {
		return false
	}
	isLive, known := (*live)[endpoint]
	return known && !isLive
}

// maintainHomes takes over and gives up the homes of pools as instances join and leave.
func (i *Instance) maintainHomes(ctx context.Context) {
	t := time.NewTicker(i.settings.Peers.Heartbeat)
	defer t.Stop()
	var live map[string]bool
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			i.updateHomes()
			live = i.triggerSweeperOnLoss(live)
		}
	}
}

func (i *Instance) updateHomes() {
	_, c := i.current()
	if c == nil {
		return
	}
	i.homes.Configure(c.Declared, func(p tlwire.Pool) bool {
		return i.gossip.IsHome(p.Name, p.DataCentre)
	})
}

// candidates returns the instances that callers may use. It leaves out draining ones,
// except this one when no other is known.
func (i *Instance) candidates() []tlselect.Candidate {
	var all []tlselect.Candidate
	for _, m := range i.gossip.Live() {
		if m.Name == i.settings.Name {
			continue
		}
		load, _, _ := i.gossip.Load(m.Name)
		if load.Draining {
			continue
		}
		all = append(all, tlselect.Candidate{
			Name:       m.Name,
			Address:    m.Address,
			DataCentre: m.DataCentre,
			InFlight:   load.Open,
		})
	}
	if i.draining.Load() && len(all) > 0 {
		return all
	}
	return append(all, tlselect.Candidate{
		Name:       i.settings.Name,
		Address:    i.settings.Listen,
		DataCentre: i.settings.DataCentre,
		InFlight:   i.entry.InFlight(),
	})
}

// poolsFor returns the pools of a request's service in the order to try them.
func (i *Instance) poolsFor(r tlrelay.Request) []tlwire.Pool {
	_, c := i.current()
	pools := c.PoolsOf(r.Service.Name)
	candidates := make([]tlspill.Candidate, 0, len(pools))
	for _, p := range pools {
		s, _, _ := i.gossip.Summary(p.Name)
		candidates = append(candidates, tlspill.Candidate{
			Summary: s,
			Local:   p.DataCentre == i.settings.DataCentre,
		})
	}
	random := tlrandom.New()
	ordered := make([]tlwire.Pool, 0, len(pools))
	for _, n := range tlspill.Order(candidates, random) {
		ordered = append(ordered, pools[n])
	}
	return ordered
}
