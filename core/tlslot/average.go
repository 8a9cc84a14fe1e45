package tlslot

import "time"

// sampleWeight is the weight of a new time in the moving averages, that of tlhealth.
const sampleWeight = 0.15

// average is a moving average of times; the zero value knows none.
type average struct {
	mean, deviation time.Duration
	isKnown         bool
	samples         int
}

func (a *average) add(d time.Duration) {
	a.samples++
	if !a.isKnown {
		a.mean, a.isKnown = d, true
		return
	}
	off := d - a.mean
	a.mean += time.Duration(sampleWeight * float64(off))
	a.deviation += time.Duration(sampleWeight * float64(off.Abs()-a.deviation))
}
