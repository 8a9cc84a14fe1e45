package tlstandin

import (
	"net/http"

	"trefoillanding/core/tlwire"
)

// addFaults lets a test in another process read and set the faults.
func addFaults(m *http.ServeMux, f *Faults) {
	m.HandleFunc("GET /control/faults", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, f.Get())
	})
	m.HandleFunc("POST /control/faults", func(w http.ResponseWriter, r *http.Request) {
		s, ok := decode[tlwire.Faults](w, r)
		if !ok {
			return
		}
		f.Set(s)
		w.WriteHeader(http.StatusNoContent)
	})
}
