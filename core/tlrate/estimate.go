package tlrate

import (
	"math"
	"time"
)

const (
	// minSamples is the number of measurements from which an estimate is known: one or two may be chance.
	minSamples = 3
	// maxSamples bounds the weight of old measurements: engines and traffic change within a day.
	maxSamples = 20
	// maxStep bounds the ratio of a measurement to the known estimate before it, and its inverse.
	maxStep = 4
)

// Estimate is a moving average of a positive quantity that is unknown at first. The
// zero value is an unknown estimate.
type Estimate struct {
	// Average is the moving average, in the unit of the measurements.
	Average float64
	// Samples is the number of measurements that it rests on, at most maxSamples.
	Samples int
}

// Add takes in a measurement; one that is not positive and finite is ignored.
func (e *Estimate) Add(x float64) {
	if !isMeasurement(x) {
		return
	}
	if e.IsKnown() {
		x = bounded(x, e.Average)
	}
	e.Samples = min(e.Samples+1, maxSamples)
	e.Average += (x - e.Average) / float64(e.Samples)
}

// IsKnown reports whether the estimate rests on enough measurements to decide by.
func (e Estimate) IsKnown() bool {
	return e.Samples >= minSamples
}

// Value returns the average, or 0 while it is unknown.
func (e Estimate) Value() float64 {
	if !e.IsKnown() {
		return 0
	}
	return e.Average
}

// Duration returns an average in seconds as a duration; false while it is unknown.
func (e Estimate) Duration() (time.Duration, bool) {
	return time.Duration(e.Value() * float64(time.Second)), e.IsKnown()
}

// Merge takes in the estimate of another instance, weighted by its measurements; one
// that is invalid is ignored.
func (e *Estimate) Merge(o Estimate) {
	if o.Samples <= 0 || !isMeasurement(o.Average) {
		return
	}
	n := min(o.Samples, maxSamples)
	if e.IsKnown() {
		o.Average = bounded(o.Average, e.Average)
	}
	e.Average = (e.Average*float64(e.Samples) + o.Average*float64(n)) / float64(e.Samples+n)
	e.Samples = min(e.Samples+n, maxSamples)
}

// bounded returns a measurement within maxStep of what was expected.
func bounded(x, expected float64) float64 {
	return min(max(x, expected/maxStep), expected*maxStep)
}

func isMeasurement(x float64) bool {
	return x > 0 && !math.IsInf(x, 1)
}
