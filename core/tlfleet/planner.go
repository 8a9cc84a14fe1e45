package tlfleet

import (
	"time"

	"trefoillanding/core/tlwire"
)

// Planner plans for one pool; it remembers since when models are surplus and is
// not safe for concurrent use.
type Planner struct {
	limits  Limits
	surplus map[surplusKey]time.Time
}

type surplusKey struct {
	engine                  string
	model, version, adapter string
}

// New returns a planner that remembers nothing yet.
func New(l Limits) *Planner {
	return &Planner{limits: l, surplus: map[surplusKey]time.Time{}}
}

// Plan returns the orders to send now, none when the pool is as declared or has
// to wait; reports holds the fresh report of each engine that has one.
func (p *Planner) Plan(now time.Time, pool tlwire.Pool, s tlwire.Service, reports map[string]tlwire.LoadReport) []EngineOrder {
	v := newView(pool, s, reports)
	p.noteSurplus(now, v)
	var steps []EngineOrder
	for _, rule := range rules {
		for _, s := range rule(p, now, v) {
			steps = appendNew(steps, s)
		}
	}
	return steps
}

// appendNew leaves out a second order to one engine.
func appendNew(steps []EngineOrder, s EngineOrder) []EngineOrder {
	for _, t := range steps {
		if t.Engine.Name == s.Engine.Name {
			return steps
		}
	}
	return append(steps, s)
}

// noteSurplus starts the time of each model that is no longer declared.
func (p *Planner) noteSurplus(now time.Time, v *view) {
	seen := map[surplusKey]time.Time{}
	for _, e := range v.engines {
		for _, m := range e.surplus(v.wanted) {
			k := surplusKey{e.declared.Name, m.Model, m.Version, m.Adapter}
			seen[k] = now
			if since, ok := p.surplus[k]; ok {
				seen[k] = since
			}
		}
	}
	p.surplus = seen
}
