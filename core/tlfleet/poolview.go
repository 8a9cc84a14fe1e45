package tlfleet

import (
	"slices"

	"trefoillanding/core/tlwire"
)

// declaredModel is one model, version and adapter that every engine must have.
type declaredModel struct {
	model, version, adapter string
}

// poolView is the reported state of a pool, with engines in declaration order.
type poolView struct {
	engines []*reportedEngine
	models  []declaredModel
}

// reportedEngine is an engine with an up-to-date report.
type reportedEngine struct {
	declared tlwire.Engine
	report   tlwire.LoadReport
}

func newView(p tlwire.Pool, s tlwire.Service, reports map[string]tlwire.LoadReport) *poolView {
	v := &poolView{}
	for _, m := range s.Models {
		v.models = append(v.models, declaredModel{m.Name, m.Version, ""})
		for _, a := range m.Adapters {
			v.models = append(v.models, declaredModel{m.Name, m.Version, a})
		}
	}
	for _, e := range p.Engines {
		if r, ok := reports[e.Name]; ok && !r.Draining {
			v.engines = append(v.engines, &reportedEngine{declared: e, report: r})
		}
	}
	return v
}

func (e *reportedEngine) find(w declaredModel) (tlwire.LoadedModel, bool) {
	i := slices.IndexFunc(e.report.Models, func(m tlwire.LoadedModel) bool {
		return declaredModel{m.Model, m.Version, m.Adapter} == w
	})
	if i < 0 {
		return tlwire.LoadedModel{}, false
	}
	return e.report.Models[i], true
}

// missing returns the first declared model that the engine has neither loaded nor loading.
func (e *reportedEngine) missing(all []declaredModel) (declaredModel, bool) {
	for _, w := range all {
		if _, ok := e.find(w); !ok {
			return w, true
		}
	}
	return declaredModel{}, false
}

// hasAll reports whether every declared model is ready.
func (e *reportedEngine) hasAll(all []declaredModel) bool {
	for _, w := range all {
		if m, ok := e.find(w); !ok || !m.Ready {
			return false
		}
	}
	return true
}

// loading returns the number of models that are being loaded.
func (e *reportedEngine) loading() int {
	n := 0
	for _, m := range e.report.Models {
		if !m.Ready {
			n++
		}
	}
	return n
}

// surplus returns the models that are not declared, adapters before their base models.
func (e *reportedEngine) surplus(all []declaredModel) []tlwire.LoadedModel {
	var out []tlwire.LoadedModel
	for _, m := range e.report.Models {
		if !slices.Contains(all, declaredModel{m.Model, m.Version, m.Adapter}) {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b tlwire.LoadedModel) int {
		return len(b.Adapter) - len(a.Adapter)
	})
	return out
}

// serves reports whether the engine currently has a role.
func (e *reportedEngine) serves(r tlwire.Role) bool {
	return e.report.Role == r || e.report.Role == tlwire.RoleBoth
}

// isReady reports whether any model is ready on the engine, of whichever version.
func (e *reportedEngine) isReady() bool {
	return slices.ContainsFunc(e.report.Models, func(m tlwire.LoadedModel) bool { return m.Ready })
}
