package tlstandin

import (
	"net/http"

	"trefoillanding/core/tlwire"
)

// export tells an importing engine what is held, and keeps it for as long as
// that engine leaves the answer open.
func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	j, x := e.pin(r.PathValue("handle"))
	if j == nil {
		refuse(w, http.StatusNotFound, reasonUnknown, "no such cache is held")
		return
	}
	defer e.unpin(j)
	answer(w, x)
	_ = http.NewResponseController(w).Flush()
	select {
	case <-r.Context().Done():
	case <-j.gone:
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) pin(handle string) (*job, tlwire.Export) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, j := range e.prefills {
		if j.handle == handle && handle != "" {
			j.pins++
			return j, tlwire.Export{Attempt: j.attempt, Prompt: j.prompt, Tokens: j.tokens, Bytes: j.bytes}
		}
	}
	return nil, tlwire.Export{}
}

func (e *Engine) unpin(j *job) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	j.pins--
	if j.pins == 0 && j.lapsed {
		e.dropPrefill(j, goneLapsed)
	}
}
