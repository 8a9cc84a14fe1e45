package tlrate

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestEstimateIsUnknownUntilItRestsOnSomeMeasurements(t *testing.T) {
	var e Estimate
	for range minSamples - 1 {
		e.Add(2)
	}
	assert.Zero(t, e.Value())
	_, known := e.Duration()
	assert.False(t, known)
	e.Add(2)
	d, known := e.Duration()
	assert.True(t, known)
	assert.Equal(t, 2*time.Second, d)
}

func TestEstimateFollowsMeasurementsOfAnyScale(t *testing.T) {
	for _, x := range []float64{1e-6, 0.0006, 0.015, 3, 400} {
		var e Estimate
		for range 10 {
			e.Add(x)
		}
		assert.InEpsilon(t, x, e.Value(), 1e-9)
	}
}

func TestBadMeasurementMovesEstimateByBoundedStep(t *testing.T) {
	cases := []struct {
		name string
		x    float64
	}{
		{"1 a clock that jumped ahead", 1e9},
		{"2 a clock that jumped back", -1e9},
		{"3 zero", 0},
		{"4 not a number", math.NaN()},
		{"5 infinite", math.Inf(1)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var e Estimate
			for range maxSamples {
				e.Add(1)
			}
			e.Add(c.x)
			assert.InDelta(t, 1, e.Value(), float64(maxStep-1)/maxSamples+1e-9)
		})
	}
}

func TestNewHomeStartsWithMeasurementsOfOthers(t *testing.T) {
	var home, a, b Rates
	for range 10 {
		a.Answer.Add(time.Millisecond, 1)
		b.Answer.Add(2*time.Millisecond, 1)
	}
	home.Merge(a)
	assert.Equal(t, a, home)
	home.Merge(b)
	assert.InEpsilon(t, 0.0015, home.Answer.Value(), 1e-9)
	assert.Equal(t, maxSamples, home.Answer.Time.Samples)
}

func TestMergeIgnoresInvalidEstimates(t *testing.T) {
	var known Estimate
	for range 5 {
		known.Add(1)
	}
	for _, bad := range []Estimate{{1, -3}, {1, 0}, {-1, 9}, {math.NaN(), 9}, {math.Inf(1), 9}} {
		e := known
		e.Merge(bad)
		assert.Equal(t, known, e)
	}
}

// A hint that is half too short or twice too long would raise an average of ratios by a quarter.
func TestRatioIsNotRaisedByGuessedUnits(t *testing.T) {
	var r Ratio
	for n := range 20 {
		r.Add(time.Second, []int{500, 2000}[n%2])
	}
	assert.InDelta(t, 1.0/1250, r.Value(), 0.1/1250)
}

func TestRatioIgnoresClockThatJumped(t *testing.T) {
	var r Ratio
	for range maxSamples {
		r.Add(time.Second, 1000)
	}
	r.Add(-time.Hour, 1000)
	r.Add(time.Hour, 1000)
	assert.InDelta(t, 0.001, r.Value(), 0.001*float64(maxStep-1)/maxSamples+1e-9)
}
