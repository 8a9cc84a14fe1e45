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

// self is what gossip tells of this instance.
func (i *Instance) self() tlpeer.LocalState {
	generation, _ := i.current()
	return tlpeer.LocalState{
		Generation: generation,
		Draining:   i.draining.Load(),
		Open:       i.entry.InFlight(),
		Pools:      i.homes.Summaries(),
	}
}

// watchList reads the platform's instance list again and again.
func (i *Instance) watchList(ctx context.Context) {
	t := time.NewTicker(i.settings.Platform.ListEvery)
	defer t.Stop()
	for {
		i.readList(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (i *Instance) readList(ctx context.Context) {
	l, isNew, err := i.platform.Instances(ctx)
	if err != nil {
		i.platformCounters.Count(listFailed)
		return
	}
	if isNew {
		i.endpoints.Store(stayingOf(l, i.endpoints.Load(), i.declares))
	}
	i.gossip.SetInstances(l)
}

// stayingOf says whether each listed instance is staying, and remembers those
// that have left the list for as long as the configuration declares them.
func stayingOf(l tlwire.InstanceList, before *map[string]bool, declares func(string) bool) *map[string]bool {
	staying := map[string]bool{}
	if before != nil {
		for name := range *before {
			if declares(name) {
				staying[name] = false
			}
		}
	}
	for _, v := range l.Instances {
		staying[v.Name] = v.State == tlwire.InstanceStateLive
	}
	return &staying
}

// declares says whether the configuration in force names an endpoint.
func (i *Instance) declares(endpoint string) bool {
	_, c := i.current()
	return c != nil && c.HasEndpoint(endpoint)
}

// leaving says whether the list has an endpoint as leaving or no more; one that
// it never had may be too new for a list that lags.
func (i *Instance) leaving(endpoint string) bool {
	staying := i.endpoints.Load()
	if staying == nil {
		return false
	}
	stays, known := (*staying)[endpoint]
	return known && !stays
}

// keepHomes takes and gives up pools as instances come and go.
func (i *Instance) keepHomes(ctx context.Context) {
	t := time.NewTicker(i.settings.Peers.Heartbeat)
	defer t.Stop()
	var live map[string]bool
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			i.takeHomes()
			live = i.nudgeSweeper(live)
		}
	}
}

func (i *Instance) takeHomes() {
	_, c := i.current()
	if c == nil {
		return
	}
	i.homes.Configure(c.Declared, func(p tlwire.Pool) bool {
		return i.gossip.IsHome(p.Name, p.DataCentre)
	})
}

// candidates returns the instances that callers may use, this one if no other is known.
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

// poolsFor returns the pools of a request's service, the one to ask first in front.
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
