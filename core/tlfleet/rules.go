package tlfleet

import (
	"slices"
	"time"

	"trefoillanding/core/tlwire"
)

// rules are applied in this order; an engine gets only its first order.
var rules = []func(*Planner, time.Time, *poolView) []EngineOrder{
	loadMissing,
	setRole,
	unloadSurplus,
}

// loadMissing loads declared models, a bounded number at a time, starting with the
// engines that have the fewest models.
func loadMissing(p *Planner, _ time.Time, v *poolView) []EngineOrder {
	room := p.limits.MaxLoading
	for _, e := range v.engines {
		room -= e.loading()
	}
	engines := slices.Clone(v.engines)
	slices.SortStableFunc(engines, func(a, b *reportedEngine) int {
		return len(a.report.Models) - len(b.report.Models)
	})
	var steps []EngineOrder
	for _, e := range engines {
		w, ok := e.missing(v.models)
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

// setRole changes the role of one engine at a time, and only while other engines
// of the old role have capacity for its work.
func setRole(_ *Planner, _ time.Time, v *poolView) []EngineOrder {
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

// unloadSurplus unloads one model at a time, once every declared model is ready on
// the same engine and the model's last streams had UnloadAfter to end.
func unloadSurplus(p *Planner, now time.Time, v *poolView) []EngineOrder {
	for _, e := range v.engines {
		if !e.hasAll(v.models) {
			continue
		}
		for _, m := range e.surplus(v.models) {
			k := surplusKey{e.declared.Name, m.Model, m.Version, m.Adapter}
			if now.Sub(p.surplusSince[k]) < p.limits.UnloadAfter {
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
