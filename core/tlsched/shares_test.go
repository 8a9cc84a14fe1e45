package tlsched

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestSharesCountHeldPieces(t *testing.T) {
	weights := map[string]float64{"a": 1, "b": 3}
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		s := newShares(weights)
		held := make(map[string]int)
		t.Repeat(map[string]func(*rapid.T){
			"hold": func(t *rapid.T) {
				o, n := rapid.SampledFrom(names).Draw(t, "organisation"), rapid.IntRange(1, 9).Draw(t, "pieces")
				s.hold(o, n)
				held[o] += n
			},
			"release": func(t *rapid.T) {
				o := rapid.SampledFrom(names).Draw(t, "organisation")
				if held[o] == 0 {
					t.Skip("organisation holds nothing")
				}
				n := rapid.IntRange(1, held[o]).Draw(t, "pieces")
				s.release(o, n)
				held[o] -= n
			},
			"": func(t *rapid.T) {
				w := 0.0
				for o, n := range held {
					assert.Equal(t, n, s.held[o])
					if n > 0 {
						w += s.weightOf(o)
					}
				}
				assert.Equal(t, w, s.weight)
			},
		})
	})
}

func TestShareIsByWeightAmongHolders(t *testing.T) {
	s := newShares(map[string]float64{"a": 1, "b": 3})
	assert.False(t, s.exceeds("a", 100, 100))
	s.hold("b", 10)
	assert.False(t, s.exceeds("a", 25, 100))
	assert.True(t, s.exceeds("a", 26, 100))
	assert.False(t, s.exceeds("b", 90, 100))
	s.hold("a", 10)
	assert.True(t, s.exceeds("b", 66, 100))
}
