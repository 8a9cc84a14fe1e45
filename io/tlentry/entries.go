package tlentry

import (
	"net/http"

	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

func (e *Entry) serveEntries(w http.ResponseWriter, r *http.Request) error {
	service := r.URL.Query().Get("Service")
	_, c := e.deps.Config()
	if c == nil {
		return noConfigError()
	}
	if !isConfigured(c, service) {
		return tlverdict.New(tlverdict.UnknownService, "no service is named %q", service)
	}
	writeJSON(w, http.StatusOK, e.deps.Entries(service))
	return nil
}

func (e *Entry) serveHealth(w http.ResponseWriter, _ *http.Request) error {
	generation, _ := e.deps.Config()
	writeJSON(w, http.StatusOK, tlwire.Health{
		Name:       e.deps.Settings.Name,
		Draining:   e.deps.Draining(),
		Generation: generation,
	})
	return nil
}
