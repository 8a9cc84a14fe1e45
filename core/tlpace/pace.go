package tlpace

import (
	"math"
	"time"
)

const (
	// minSamples is the number of measurements from which an estimate may count.
	minSamples = 5
	// maxWeight bounds the weight of one measurement among those before it.
	maxWeight = 0.1
	// window is the time over which frequent measurements are averaged: a pause delays all
	// answers that run at once, and is to count by its time, not by their number.
	window = 10 * time.Second
	// pauseLimit is the time for which answers have to differ from the estimate before it
	// follows quickly; shorter slowness is a pause.
	pauseLimit = 1500 * time.Millisecond
	// minRun is the number of measurements in a row that must differ too.
	minRun = 4
	// followWeight is the weight of a measurement while the estimate follows a change. Any
	// weight below 1 moves the average towards the measurements, never beyond them.
	followWeight = 0.3
	// maxResidual bounds the logarithm of the ratio of a measurement to the estimate.
	maxResidual = 2
	// minShare is the least Share that an estimate may claim: measurements within one pause
	// agree with each other, so that many in a window say less than as many apart.
	minShare = 0.06
	// minSpread is the least variance of a single measurement.
	minSpread = 0.01
	// priorSpread is the variance that counts as one further measurement, for estimates of few.
	priorSpread = 0.1
	// noiseFactor is the number of standard errors by which an estimate has to differ: with
	// a hundred endpoints alike, less would single some out at any time.
	noiseFactor = 3
	// minDifference is the least logarithm of a ratio that counts as a difference.
	minDifference = 0.1
	// forgetAfter is the age at which an estimate counts as little as a single measurement.
	forgetAfter = 2 * time.Minute
)

// Pace is a moving average of the time that an endpoint takes for each unit of work. The
// average is of logarithms, so that a few times several times too long move it little. The
// zero value is an unknown pace.
type Pace struct {
	// Level is the mean logarithm of the seconds for each unit.
	Level float64
	// Spread is the variance of the measurements.
	Spread float64
	// Share is the variance of the mean in relation to Spread: 1 for one measurement, 1/n for n.
	Share float64
	// Load is the mean number of requests that ran at once.
	Load float64
	// Samples is the number of measurements.
	Samples int
	// At is when the last was made.
	At time.Time

	// runSince and run are the beginning and the signed number of the last measurements
	// that all differed from the mean in the same direction, by more than runLimit.
	runSince time.Time
	run      int
	runLimit float64
}

// Add takes in a measurement in seconds for each unit, made while a number of requests ran
// at once. It returns by how much its logarithm was above the mean before, and false for a
// measurement that is not positive and finite.
func (p *Pace) Add(now time.Time, seconds, load float64) (float64, bool) {
	if !isMeasurement(seconds, load) {
		return 0, false
	}
	if p.Samples == 0 {
		*p = Pace{Level: math.Log(seconds), Load: load, Share: 1, Samples: 1, At: now}
		return 0, false
	}
	d := p.residual(seconds)
	p.take(now, d, load, p.weight(now, d))
	return d, true
}

func isMeasurement(seconds, load float64) bool {
	return seconds > 0 && !math.IsInf(seconds, 1) && load >= 0 && !math.IsInf(load, 1)
}

// residual returns by how much the logarithm of a measurement is above the mean, within bounds.
func (p *Pace) residual(seconds float64) float64 {
	return min(max(math.Log(seconds)-p.Level, -maxResidual), maxResidual)
}

// take takes in a measurement that differs from the mean by d, with a weight.
func (p *Pace) take(now time.Time, d, load, w float64) {
	p.Level += w * d
	p.Load += w * (load - p.Load)
	p.Spread = (1 - w) * (p.Spread + w*d*d)
	p.Share = (1-w)*(1-w)*p.Share + w*w
	p.Samples++
	p.At = now
}

// weight returns the weight of a measurement that differs from the mean by d.
func (p *Pace) weight(now time.Time, d float64) float64 {
	w := min(maxWeight, max(now.Sub(p.At), 0).Seconds()/window.Seconds())
	w = max(w, 1/float64(p.Samples+1))
	if p.extendRun(now, d) {
		w = max(w, followWeight)
	}
	return w
}

// extendRun reports whether the measurements have differed from the mean for long enough
// to be a change.
func (p *Pace) extendRun(now time.Time, d float64) bool {
	if p.run == 0 || p.run > 0 != (d > 0) {
		// The spread before: the change itself raises it.
		p.run, p.runSince, p.runLimit = 0, now, max(math.Sqrt(p.Spread), 2*minDifference)
	}
	if math.Abs(d) <= p.runLimit {
		p.run = 0
		return false
	}
	if d > 0 {
		p.run++
	} else {
		p.run--
	}
	if max(p.run, -p.run) < minRun || now.Sub(p.runSince) < pauseLimit {
		return false
	}
	// It follows until measurements are about as expected.
	p.runLimit = minDifference / 2
	return true
}

// IsKnown reports whether the estimate rests on enough measurements to count.
func (p *Pace) IsKnown() bool {
	return p.Samples >= minSamples
}

// Seconds returns the time for each unit; 0 while there is none.
func (p *Pace) Seconds() float64 {
	if p.Samples == 0 {
		return 0
	}
	return math.Exp(p.Level)
}

// noise returns the standard error of Level, which grows with its age.
func (p *Pace) noise(now time.Time) float64 {
	spread := max(p.Spread, minSpread) + priorSpread/float64(max(p.Samples, 1))
	return math.Sqrt(spread * (max(p.Share, minShare) + max(now.Sub(p.At), 0).Seconds()/forgetAfter.Seconds()))
}

// Merge takes in the estimate of another instance, weighted by the precision of each.
func (p *Pace) Merge(o Pace) {
	if !o.isValid() {
		return
	}
	if p.Samples == 0 {
		*p = o
		return
	}
	w := p.Share / (p.Share + o.Share)
	d := min(max(o.Level-p.Level, -maxResidual), maxResidual)
	p.Spread = (1-w)*p.Spread + w*o.Spread + w*(1-w)*d*d
	p.Level += w * d
	p.Load += w * (o.Load - p.Load)
	p.Share = p.Share * o.Share / (p.Share + o.Share)
	p.Samples = min(p.Samples+o.Samples, maxMergedSamples)
	if o.At.After(p.At) {
		p.At = o.At
	}
}

// maxMergedSamples bounds what estimates of others add up to.
const maxMergedSamples = 1_000_000

// isValid reports whether an estimate that came from another instance can be one.
func (p *Pace) isValid() bool {
	for _, x := range []float64{p.Level, p.Spread, p.Load} {
		if math.IsNaN(x) || math.IsInf(x, 0) {
			return false
		}
	}
	return p.Samples > 0 && p.Spread >= 0 && p.Load >= 0 && p.Share > 0 && p.Share <= 1
}
