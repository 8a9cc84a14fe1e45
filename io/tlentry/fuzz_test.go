package tlentry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// FuzzCompletion sends arbitrary bodies; every answer is a refusal with a verdict, since
// there is no pool.
func FuzzCompletion(f *testing.F) {
	for _, body := range []string{
		`{"model":"kiosk","prompt":"p"}`,
		`{"model":"kiosk","prompt":"p","stream":true,"max_tokens":5,"user":"u"}`,
		`{"model":3}`,
		`[`,
	} {
		f.Add(body, "")
	}
	f.Add(`{"model":"kiosk","prompt":"p","stream":true}`, "abc.1")
	e := newTestEntry()
	f.Fuzz(func(t *testing.T, body, last string) {
		r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
		r.Header.Set(lastEventID, last)
		w := httptest.NewRecorder()
		e.ServeHTTP(w, r)
		if w.Header().Get(VerdictHeader) != "NotRun" {
			t.Fatalf("status %d without NotRun: %s", w.Code, w.Body)
		}
	})
}
