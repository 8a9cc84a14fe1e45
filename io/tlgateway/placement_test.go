package tlgateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlroute"
)

// A stream must not be lost since the engine that it was moved to could not be reached.
func TestRetryAfterAnUnreachedEngineIsNotChargedTwice(t *testing.T) {
	cases := []struct {
		name        string
		budget      float64
		isUnreached bool
		isSplit     bool
		wantSplit   bool
		wantRefused bool
	}{
		{"1 no budget", 0, false, false, false, true},
		{"2 no budget after an unreached engine", 0, true, false, false, false},
		{"3 no budget after an unreached engine, the prefill is left out", 0, true, true, false, false},
		{"4 budget for the prefill after an unreached engine", 1, true, true, true, false},
		{"5 budget for one send, the prefill is left out", 1, false, true, false, false},
		{"6 budget for send and prefill", 2, false, true, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			b := NewRetryBudget(RetryAllowance{Share: c.budget, Burst: 10, Window: time.Hour}, func() int { return 1 }, func() time.Time { return now })
			b.Earn("llm")
			x := &exchange{
				g:       New(Deps{Budget: b, Count: func(string) {}, Now: func() time.Time { return now }}),
				r:       httptest.NewRequest(http.MethodPost, "/", nil),
				service: tlroute.Service{Name: "llm"},
			}
			g := &generation{x: x, ctx: t.Context(), decodeSends: 1, isUnreached: c.isUnreached}
			p := placement{isSplit: c.isSplit}
			err := g.chargeRetry(&p)
			assert.Equal(t, c.wantRefused, err != nil)
			assert.Equal(t, c.wantSplit, p.isSplit)
			assert.False(t, g.isUnreached, "it counts once")
		})
	}
}
