package tlfleet

import (
	"slices"
	"time"

	"trefoillanding/core/tlwire"
)

// rules give their orders in this order; an engine gets the first one only.
var rules = []func(*Planner, time.Time, *view) []EngineOrder{
	loadMissing,
	setRole,
	unloadSurplus,
}

// loadMissing loads what is declared, a bounded number at a time, first where
// an engine has nothing at all.
func loadMissing(p *Planner, _ time.Time, v *view) []EngineOrder {
	room := p.limits.MaxLoading
	for _, e := range v.engines {
		room -= e.loading()
	}
	engines := slices.Clone(v.engines)
	slices.SortStableFunc(engines, func(a, b *engine) int {
		return len(a.report.Models) - len(b.report.Models)
	})
	var steps []EngineOrder
	for _, e := range engines {
		w, ok := e.missing(v.wanted)
		if !ok || len(steps) >= room || e.loading() > 0 {
			continue
		}
		steps = append(steps, EngineOrder{Engine: e.declared, Order: tlwire.Order{
			Kind:    tlwire.OrderKindLoadModel,
			Model:   w.model,
			Version: w.version,
			Adapter: w.adapter,
		}})
	}
	return steps
}

// setRole changes one role at a time, and only while the others of the old role
// have room for the work that the engine does.
func setRole(_ *Planner, _ time.Time, v *view) []EngineOrder {
	for _, e := range v.engines {
		if e.report.Role == e.declared.Role || !v.canSpare(e) {
			continue
		}
		return []EngineOrder{{Engine: e.declared, Order: tlwire.Order{
			Kind: tlwire.OrderKindSetRole,
			Role: e.declared.Role,
		}}}
	}
	return nil
}

// unloadSurplus gives one model back at a time, once everything declared is
// ready on the same engine and the model's last streams had time to end.
func unloadSurplus(p *Planner, now time.Time, v *view) []EngineOrder {
	for _, e := range v.engines {
		if !e.hasAll(v.wanted) {
			continue
		}
		for _, m := range e.surplus(v.wanted) {
			k := surplusKey{e.declared.Name, m.Model, m.Version, m.Adapter}
			if now.Sub(p.surplus[k]) < p.limits.UnloadAfter {
				continue
			}
			return []EngineOrder{{Engine: e.declared, Order: tlwire.Order{
				Kind:    tlwire.OrderKindUnloadModel,
				Model:   m.Model,
				Version: m.Version,
				Adapter: m.Adapter,
			}}}
		}
	}
	return nil
}
