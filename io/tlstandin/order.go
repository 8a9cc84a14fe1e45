package tlstandin

import (
	"net/http"
	"slices"
	"time"

	"trefoillanding/core/tlwire"
)

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	o, ok := decode[tlwire.Order](w, r)
	if !ok {
		return
	}
	if !e.obey(o) {
		refuse(w, http.StatusConflict, reasonOldFencing, "a later lease has given orders")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Orders returns the orders that were carried out.
func (e *Engine) Orders() []tlwire.Order {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.orders)
}

// obey carries an order out; it returns false for an old fencing number.
func (e *Engine) obey(o tlwire.Order) bool {
	ignore := e.faults.Get().IgnoreFencing
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.checks && !ignore && o.FencingNumber < e.fencing {
		return false
	}
	e.fencing = max(e.fencing, o.FencingNumber)
	e.orders = append(e.orders, o)
	switch o.Kind {
	case tlwire.OrderKindLoadModel:
		e.loadModel(o)
	case tlwire.OrderKindUnloadModel:
		e.models = slices.DeleteFunc(e.models, func(m tlwire.LoadedModel) bool { return isModel(m, o) })
	case tlwire.OrderKindSetRole:
		e.role = o.Role
	}
	return true
}

// loadModel needs the mutex.
func (e *Engine) loadModel(o tlwire.Order) {
	if slices.ContainsFunc(e.models, func(m tlwire.LoadedModel) bool { return isModel(m, o) }) {
		return
	}
	m := tlwire.LoadedModel{Model: o.Model, Version: o.Version, Adapter: o.Adapter}
	e.models = append(e.models, m)
	time.AfterFunc(e.set.LoadTime, func() { e.ready(o) })
}

func (e *Engine) ready(o tlwire.Order) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for i, m := range e.models {
		if isModel(m, o) {
			e.models[i].Ready = true
		}
	}
}

// runs says whether a model is ready; it needs the mutex.
func (e *Engine) runs(model, version, adapter string) bool {
	return slices.ContainsFunc(e.models, func(m tlwire.LoadedModel) bool {
		return m.Ready && m.Model == model && m.Adapter == adapter && (version == "" || m.Version == version)
	})
}

func isModel(m tlwire.LoadedModel, o tlwire.Order) bool {
	return m.Model == o.Model && m.Version == o.Version && m.Adapter == o.Adapter
}

func loaded(l []tlwire.Model) []tlwire.LoadedModel {
	var v []tlwire.LoadedModel
	for _, m := range l {
		v = append(v, tlwire.LoadedModel{Model: m.Name, Version: m.Version, Ready: true})
		for _, a := range m.Adapters {
			v = append(v, tlwire.LoadedModel{Model: m.Name, Version: m.Version, Adapter: a, Ready: true})
		}
	}
	return v
}
