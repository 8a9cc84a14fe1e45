package tlentry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"trefoillanding/core/tlverdict"
)

// VerdictHeader names the header, set on every refusal and error, that tells whether
// the request may have run.
const VerdictHeader = "Trefoil-Verdict"

// Refuse counts err and sends it as the answer. It panics with http.ErrAbortHandler when
// an answer has begun through this entry.
func (e *Entry) Refuse(w http.ResponseWriter, err error) {
	a, ok := w.(*trackedWriter)
	if !ok {
		a = &trackedWriter{ResponseWriter: w}
	}
	e.refuse(a, err)
}

// refuse counts err and sends it as the answer. It panics with http.ErrAbortHandler, which
// cuts the connection, when the answer has begun.
func (e *Entry) refuse(a *trackedWriter, err error) {
	v := tlverdict.Of(err)
	e.refusals.Count(string(v.Reason))
	if a.hasWritten {
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
