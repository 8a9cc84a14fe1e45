package tlpace

import (
	"math"
	"time"
)

// Service compares the paces of the endpoints of one service. The zero value knows none.
type Service struct {
	// Typical is the pace over the measurements of all endpoints.
	Typical Pace
	slope   slope
}

// Add takes in a measurement of an endpoint, as Pace.Add does.
func (s *Service) Add(now time.Time, p *Pace, seconds, load float64) {
	before := p.Load
	isKnown := p.IsKnown()
	d, ok := p.Add(now, seconds, load)
	if ok && isKnown {
		s.slope.add(d, load-before)
	}
	s.addTypical(now, seconds, load)
}

// typicalWeight is the least weight of a measurement among those of all endpoints: the
// mean has to be steadier than the pace of one.
const typicalWeight = 0.01

func (s *Service) addTypical(now time.Time, seconds, load float64) {
	t := &s.Typical
	if t.Samples == 0 || !isMeasurement(seconds, load) {
		t.Add(now, seconds, load)
		return
	}
	t.take(now, t.residual(seconds), load, max(1/float64(t.Samples+1), typicalWeight))
}

// maxRatio bounds how much slower or faster than usual an endpoint counts, so that a wrong
// estimate puts off a forecast by a bounded factor.
const maxRatio = 8

// Ratio returns how many times longer than usual an endpoint takes at the same load; 1
// where it does not differ measurably.
func (s *Service) Ratio(now time.Time, p *Pace) float64 {
	if !p.IsKnown() || !s.Typical.IsKnown() {
		return 1
	}
	d := p.Level + math.Log(s.slope.factor(s.Typical.Load-p.Load)) - s.Typical.Level
	noise := math.Hypot(p.noise(now), s.Typical.noise(s.Typical.At))
	if math.Abs(d) <= max(noiseFactor*noise, minDifference) {
		return 1
	}
	return min(max(math.Exp(d), 1/maxRatio), maxRatio)
}

// Seconds returns the time for each unit that an endpoint of a ratio is expected to take
// at a load; 0 while it is unknown.
func (s *Service) Seconds(ratio, load float64) float64 {
	if !s.Typical.IsKnown() {
		return 0
	}
	return ratio * s.Typical.Seconds() * s.slope.factor(load-s.Typical.Load)
}

const (
	// minSlopeSamples is the number of measurements from which the effect of the load counts.
	minSlopeSamples = 30
	// slopeDecay is what remains of the weight of a measurement at each further one.
	slopeDecay = 0.995
	// minFactor bounds how much faster than measured an endpoint is expected to be at a lower load.
	minFactor = 0.5
	// maxSlope bounds the effect of one request: at most it takes as long as those before it.
	maxSlope = 1
)

// slope is the effect of the load on the time for each unit: the regression of how much
// each endpoint's times differ from its own mean on how much its load does. Differences
// between endpoints don't enter it, so that slow endpoints, which hold requests longer, do
// not look like loaded ones.
type slope struct {
	xy, xx  float64
	samples int
}

func (s *slope) add(residual, deviation float64) {
	s.xy = slopeDecay*s.xy + residual*deviation
	s.xx = slopeDecay*s.xx + deviation*deviation
	s.samples++
}

// factor returns by how much the time changes with the load.
func (s *slope) factor(deviation float64) float64 {
	if s.samples < minSlopeSamples || s.xx <= 0 {
		return 1
	}
	each := min(max(s.xy/s.xx, 0), maxSlope)
	return max(1+each*deviation, minFactor)
}
