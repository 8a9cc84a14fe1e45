package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"trefoillanding/platform/tlstand"
)

// A refusal after an attempt that may have run must not say that the request has not run.
func TestRefusalAfterAnAttemptThatMayHaveRunDoesNotSayNotRun(t *testing.T) {
	cases := []struct {
		name     string
		prompt   int
		prefills int
	}{
		{"1 no engine has room for another attempt", 1000, 1},
		{"2 no endpoint is left for a request without a prompt length", 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestCluster(t)
			for range c.prefills {
				w.startEngine("p", "prefill")
			}
			d := w.startEngine("d", "decode")
			d.Intercept = func(_ http.ResponseWriter, _ *http.Request, a *tlstand.Arrival) bool {
				d.MarkRan(a)
				panic(http.ErrAbortHandler)
			}
			q := streamCall("id-1", tlstand.ResumablePath)
			q.PromptTokens = c.prompt
			a := w.call(w.startInstance("a"), q)
			assert.NotZero(t, runs("id-1", d))
			assert.Equal(t, "MayHaveRun", a.header.Get("Trefoil-Verdict"), "%d %s", a.status, a.body)
		})
	}
}
