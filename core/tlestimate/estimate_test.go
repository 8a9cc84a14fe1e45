package tlestimate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestLengthsFollowTheOrganisation(t *testing.T) {
	l := NewLengths(300)
	assert.Equal(t, 300, l.Quantile("a", "m", 0.9, 0, 1000))
	for i := range 400 {
		l.Observe("a", "m", 50+i%10)
		l.Observe("b", "m", 800+i%100)
	}
	cases := []struct {
		organisation string
		quantile     float64
		passed       int
		limit        int
		least, most  int
	}{
		{"a", 0.7, 0, 1000, 50, 80},
		{"b", 0.7, 0, 1000, 800, 1000},
		{"b", 0.7, 0, 500, 500, 500},
		{"new", 0.3, 0, 1000, 50, 80},
		{"a", 0.5, 100, 1000, 800, 1000},
		{"b", 0.5, 2000, 4000, 2000, 3000},
	}
	for _, c := range cases {
		n := l.Quantile(c.organisation, "m", c.quantile, c.passed, c.limit)
		assert.GreaterOrEqual(t, n, c.least, c)
		assert.LessOrEqual(t, n, c.most, c)
	}
	assert.InDelta(t, 55, l.Mean("a", "m", 1000), 60)
}

func TestLinearFitLearnsCoefficients(t *testing.T) {
	l := NewLinearFit(0.01, 1e-5, 1000, 50)
	for i := range 1000 {
		x := float64(i % 37 * 100)
		l.Observe(x, 0.02+1e-4*x)
	}
	assert.InDelta(t, 0.12, l.At(1000), 0.002)
	a, b := l.Coefficients()
	assert.InDelta(t, 0.02, a, 0.002)
	assert.InDelta(t, 1e-4, b, 1e-6)
}

func TestRateConvergesAndDecays(t *testing.T) {
	r := NewRate(2 * time.Second)
	now := time.Unix(0, 0)
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		r.Add(now, 3)
	}
	assert.InDelta(t, 30, r.PerSecond(now), 2)
	assert.Less(t, r.PerSecond(now.Add(20*time.Second)), 1.0)
}
