package tlstandin

import (
	"net/http"
	"time"

	"trefoillanding/core/tlwire"
)

func (e *Engine) cancelAttempt(w http.ResponseWriter, r *http.Request) {
	a := r.PathValue("attempt")
	answer(w, tlwire.CancelResult{Attempt: a, Freed: e.Cancel(a)})
}

// Cancel frees what an attempt holds, refuses it later, and returns the pieces
// that were freed.
func (e *Engine) Cancel(attempt string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.tombstones[attempt] = time.Now()
	n := 0
	if j := e.prefills[attempt]; j != nil {
		n += e.dropPrefill(j, goneCancelled)
	}
	if j := e.decodes[attempt]; j != nil {
		n += e.dropDecode(j, goneCancelled)
	}
	return n
}
