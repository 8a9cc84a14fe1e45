package trefoillanding

import (
	"net/http"

	"trefoillanding/core/tlwire"
	"trefoillanding/io/tloperator"
)

func (i *Instance) operator() http.Handler {
	return tloperator.New(tloperator.Deps{
		Token:             i.settings.Security.OperatorToken,
		Apply:             i.configurer.Apply,
		Config:            i.current,
		Status:            i.status,
		WaitForGeneration: i.configurer.WaitInForce,
		Refuse:            func(w http.ResponseWriter, err error) { i.entry.Refuse(w, err) },
	})
}

// status returns the state of the system as this instance knows it.
func (i *Instance) status() tlwire.Status {
	generation, c := i.current()
	s := tlwire.Status{
		Name:        i.settings.Name,
		Incarnation: i.incarnation,
		Draining:    i.draining.Load(),
		Generation:  generation,
		Age:         i.configurer.Age(),
		Open:        i.entry.InFlight(),
		Claims:      i.claims.Keys(),
		Instances:   i.instanceStatuses(generation),
		Pools:       []tlwire.PoolStatus{},
	}
	if c == nil {
		return s
	}
	for _, p := range c.Declared.Pools {
		s.Pools = append(s.Pools, i.poolStatus(p))
	}
	return s
}

func (i *Instance) instanceStatuses(generation uint64) []tlwire.InstanceStatus {
	statuses := []tlwire.InstanceStatus{}
	for _, m := range i.gossip.All() {
		v := tlwire.InstanceStatus{Name: m.Name, DataCentre: m.DataCentre, State: string(m.State)}
		if m.Name == i.settings.Name {
			v.Generation, v.Open = generation, i.entry.InFlight()
		} else {
			load, _, _ := i.gossip.Load(m.Name)
			v.Generation, v.Open = load.Generation, load.Open
		}
		statuses = append(statuses, v)
	}
	return statuses
}

func (i *Instance) poolStatus(p tlwire.Pool) tlwire.PoolStatus {
	v := tlwire.PoolStatus{
		Pool:       p.Name,
		Service:    p.Service,
		DataCentre: p.DataCentre,
		Home:       i.homeOf(p),
	}
	if s, _, ok := i.gossip.Summary(p.Name); ok {
		v.Summary = &s
	}
	return v
}
