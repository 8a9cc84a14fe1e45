package tlfleet

import (
	"slices"

	"trefoillanding/core/tlwire"
)

// wanted is one model, version and adapter that every engine is to have.
type wanted struct {
	model, version, adapter string
}

// view is a pool as its engines report it, in the order of their declaration.
type view struct {
	engines []*engine
	wanted  []wanted
}

// engine is one engine with a fresh report.
type engine struct {
	declared tlwire.Engine
	report   tlwire.LoadReport
}

func newView(p tlwire.Pool, s tlwire.Service, reports map[string]tlwire.LoadReport) *view {
	v := &view{}
	for _, m := range s.Models {
		v.wanted = append(v.wanted, wanted{m.Name, m.Version, ""})
		for _, a := range m.Adapters {
			v.wanted = append(v.wanted, wanted{m.Name, m.Version, a})
		}
	}
	for _, e := range p.Engines {
		if r, ok := reports[e.Name]; ok && !r.Draining {
			v.engines = append(v.engines, &engine{declared: e, report: r})
		}
	}
	return v
}

func (e *engine) find(w wanted) (tlwire.LoadedModel, bool) {
	i := slices.IndexFunc(e.report.Models, func(m tlwire.LoadedModel) bool {
		return wanted{m.Model, m.Version, m.Adapter} == w
	})
	if i < 0 {
		return tlwire.LoadedModel{}, false
	}
	return e.report.Models[i], true
}

// missing returns the first wanted model that the engine neither has nor loads.
func (e *engine) missing(all []wanted) (wanted, bool) {
	for _, w := range all {
		if _, ok := e.find(w); !ok {
			return w, true
		}
	}
	return wanted{}, false
}

// hasAll says whether everything wanted is ready.
func (e *engine) hasAll(all []wanted) bool {
	for _, w := range all {
		if m, ok := e.find(w); !ok || !m.Ready {
			return false
		}
	}
	return true
}

// loading counts the models whose weights are on their way.
func (e *engine) loading() int {
	n := 0
	for _, m := range e.report.Models {
		if !m.Ready {
			n++
		}
	}
	return n
}

// surplus returns the models that are not wanted, adapters before what they rest on.
func (e *engine) surplus(all []wanted) []tlwire.LoadedModel {
	var out []tlwire.LoadedModel
	for _, m := range e.report.Models {
		if !slices.Contains(all, wanted{m.Model, m.Version, m.Adapter}) {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b tlwire.LoadedModel) int {
		return len(b.Adapter) - len(a.Adapter)
	})
	return out
}

// serves says whether the engine can do the work of a role at present.
func (e *engine) serves(r tlwire.Role) bool {
	return e.report.Role == r || e.report.Role == tlwire.RoleBoth
}

// isReady says whether the engine can serve any version of the wanted models.
func (e *engine) isReady() bool {
	return slices.ContainsFunc(e.report.Models, func(m tlwire.LoadedModel) bool { return m.Ready })
}
