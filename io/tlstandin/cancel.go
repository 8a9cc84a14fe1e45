package tlstandin

import (
	"net/http"
	"strconv"
	"time"

	"trefoillanding/core/tlwire"
)

func (e *Engine) cancelAttempt(w http.ResponseWriter, r *http.Request) {
	a, q := r.PathValue("attempt"), r.URL.Query()
	if o := q.Get("Owner"); o != "" {
		n, err := strconv.ParseUint(q.Get("Incarnation"), 10, 64)
		if err != nil {
			refuse(w, http.StatusBadRequest, reasonBadBody, err.Error())
			return
		}
		if !e.isOwner(a, o, n) {
			refuse(w, http.StatusConflict, reasonOtherOwner, "another instance has taken the attempt over")
			return
		}
	}
	n := e.Cancel(a)
	answer(w, tlwire.CancelResult{Attempt: e.faults.attempt(a), Freed: n})
}

// isOwner says whether nobody else owns an attempt.
func (e *Engine) isOwner(attempt, owner string, incarnation uint64) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, j := range []*job{e.prefills[attempt], e.decodes[attempt]} {
		if j != nil && (j.owner != owner || j.incarnation != incarnation) {
			return false
		}
	}
	return true
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
