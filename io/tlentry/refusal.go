package tlentry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"trefoillanding/core/tlverdict"
)

// VerdictHeader tells on every refusal and error whether the request may have run.
const VerdictHeader = "Trefoil-Verdict"

// Refuse counts err and tells it to whoever called, if no answer has begun.
func (e *Entry) Refuse(w http.ResponseWriter, err error) {
	a, ok := w.(*answer)
	if !ok {
		a = &answer{ResponseWriter: w}
	}
	e.refuse(a, err)
}

// refuse counts err and tells it to the caller, if its answer has not begun.
func (e *Entry) refuse(a *answer, err error) {
	v := tlverdict.Of(err)
	e.refusals.Count(string(v.Reason))
	if a.isOut {
		panic(http.ErrAbortHandler)
	}
	h := a.Header()
	for name := range h {
		h.Del(name)
	}
	h.Set(VerdictHeader, string(v.Verdict))
	if v.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(v.RetryAfter.Seconds()))))
	}
	writeJSON(a, v.Status, v.Body())
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
