package tlshare

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestShareWeighsLaterCasesMore(t *testing.T) {
	cases := []struct {
		name     string
		happened []bool
		want     float64
	}{
		{"no cases", nil, 0},
		{"once", []bool{true}, 0.5},
		{"twice", []bool{true, true}, 0.75},
		{"once, followed by misses", []bool{true, false, false}, 0.125},
		{"once, after misses", []bool{false, false, true}, 0.5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s Share
			for _, happened := range c.happened {
				if happened {
					s.AddHit(0.5)
				} else {
					s.AddMiss(0.5)
				}
			}
			assert.InDelta(t, c.want, float64(s), 1e-12)
		})
	}
}
