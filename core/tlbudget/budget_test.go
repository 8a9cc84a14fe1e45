package tlbudget

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestSpentWorkIsBoundedByEarnedWorkAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		burst := rapid.Float64Range(0, 100).Draw(t, "burst")
		b := New(share, burst)
		var earned, spent float64
		work := rapid.Float64Range(0, 50)
		t.Repeat(map[string]func(*rapid.T){
			"earn": func(t *rapid.T) {
				w := work.Draw(t, "work")
				b.Earn(w)
				earned += w
			},
			"spend": func(t *rapid.T) {
				w := work.Draw(t, "work")
				if b.Spend(w) {
					spent += w
				}
			},
			"": func(t *rapid.T) {
				assert.LessOrEqual(t, spent, burst+share*earned+1e-6)
				assert.GreaterOrEqual(t, b.Level(), 0.0)
				assert.LessOrEqual(t, b.Level(), burst)
			},
		})
	})
}
