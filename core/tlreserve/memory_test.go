package tlreserve

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestNoPieceIsLostOrHeldTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 40
		m := New(total)
		model := map[string]int{}
		name := rapid.SampledFrom([]string{"a/1", "a/2", "b/1", "c/1"})
		size := rapid.IntRange(-1, total+2)
		t.Repeat(map[string]func(*rapid.T){
			"hold": func(t *rapid.T) {
				a, n, free := name.Draw(t, "attempt"), size.Draw(t, "pieces"), m.Free()
				_, had := model[a]
				assert.Equal(t, !had && n > 0 && n <= free, m.Hold(a, n))
				if !had && n > 0 && n <= free {
					model[a] = n
				}
			},
			"grow": func(t *rapid.T) {
				a, n := name.Draw(t, "attempt"), size.Draw(t, "pieces")
				m.Grow(a, n)
				if had, ok := model[a]; ok {
					model[a] = max(had, n)
				}
			},
			"release": func(t *rapid.T) {
				a := name.Draw(t, "attempt")
				assert.Equal(t, model[a], m.Release(a))
				delete(model, a)
			},
			"foreign": func(t *rapid.T) { m.SetForeign(size.Draw(t, "pieces")) },
			"": func(t *rapid.T) {
				sum := 0
				for _, n := range model {
					sum += n
				}
				assert.Equal(t, sum, m.Reserved())
				assert.Equal(t, total-m.Foreign()-sum, m.Free())
				assert.Equal(t, len(model), m.Attempts())
			},
		})
	})
}
