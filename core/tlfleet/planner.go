package tlfleet

import (
	"time"

	"trefoillanding/core/tlwire"
)

// Planner plans the orders of one pool. It stores since when models are no longer
// declared, and is not safe for concurrent use.
type Planner struct {
	limits       Limits
	surplusSince map[surplusKey]time.Time
}

type surplusKey struct {
	engine                  string
	model, version, adapter string
}

// New returns a planner without history.
func New(l Limits) *Planner {
	return &Planner{limits: l, surplusSince: map[surplusKey]time.Time{}}
}

// Plan returns the orders to send now: none if the pool is as declared or must
// wait. Engines without an entry in reports have no up-to-date report.
func (p *Planner) Plan(now time.Time, pool tlwire.Pool, s tlwire.Service, reports map[string]tlwire.LoadReport) []EngineOrder {
	v := newView(pool, s, reports)
	p.trackSurplus(now, v)
	var steps []EngineOrder
	for _, rule := range rules {
		for _, s := range rule(p, now, v) {
			steps = appendUnlessOrdered(steps, s)
		}
	}
	return steps
}

// appendUnlessOrdered appends an order unless its engine already has one.
func appendUnlessOrdered(steps []EngineOrder, s EngineOrder) []EngineOrder {
	for _, t := range steps {
		if t.Engine.Name == s.Engine.Name {
			return steps
		}
	}
	return append(steps, s)
}

// trackSurplus stores when each loaded model was first seen as no longer declared.
func (p *Planner) trackSurplus(now time.Time, v *poolView) {
	seen := map[surplusKey]time.Time{}
	for _, e := range v.engines {
		for _, m := range e.surplus(v.models) {
			k := surplusKey{e.declared.Name, m.Model, m.Version, m.Adapter}
			seen[k] = now
			if since, ok := p.surplusSince[k]; ok {
				seen[k] = since
			}
		}
	}
	p.surplusSince = seen
}
