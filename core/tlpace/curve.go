package tlpace

import (
	"math"
	"time"
)

const (
	// kneeStep is how far one measurement moves the estimated concurrency.
	kneeStep = 0.03
	// kneeGrowth is the share by which the concurrency grows with each answer near it that
	// is as fast as those below it: the only way to learn that an endpoint got better.
	kneeGrowth = 0.005
	// nearKnee is the share of the concurrency from which an answer says something of it.
	nearKnee = 0.8
	// minKneeSamples is the number of measurements near the concurrency from which it counts.
	minKneeSamples = 20
)

// Curve is the time that an endpoint takes for a request as a function of those in flight
// there: constant up to its concurrency, and in proportion to their number beyond. The
// zero value is an unknown curve.
type Curve struct {
	// Pace is the time up to the concurrency.
	Pace Pace
	// Knee is the concurrency that the endpoint handles well; 0 while nothing was measured.
	Knee        float64
	kneeSamples int
}

// Add takes in the time of an answer, with the number of requests in flight beside it, its
// own included, and the listed slots of the endpoint.
func (c *Curve) Add(now time.Time, took time.Duration, inFlight, slots int) {
	most := float64(max(slots, 1))
	if c.Knee == 0 || c.Knee > most {
		c.Knee = most
	}
	n := float64(max(inFlight, 1))
	over := max(n/c.Knee, 1)
	d, ok := c.Pace.Add(now, took.Seconds()/over, n)
	if !ok || n < nearKnee*c.Knee {
		return
	}
	c.kneeSamples++
	switch {
	case n > 1 && (d > 0 || n > c.Knee):
		c.Knee *= math.Exp(-kneeStep * min(max(d, -1), 1))
	case d <= 0:
		c.Knee *= 1 + kneeGrowth
	}
	c.Knee = min(max(c.Knee, 1), most)
}

// Concurrency returns the number of requests that the endpoint handles well at once: the
// listed slots until fewer are known.
func (c *Curve) Concurrency(slots int) float64 {
	most := float64(max(slots, 1))
	if c.Knee == 0 || c.kneeSamples < minKneeSamples {
		return most
	}
	return min(c.Knee, most)
}

// Seconds returns the expected time of a request with which a number are in flight; 0
// while nothing was measured.
func (c *Curve) Seconds(inFlight, slots int) float64 {
	return c.Pace.Seconds() * max(float64(inFlight)/c.Concurrency(slots), 1)
}

// Differ reports whether any of some endpoints differs measurably from their mean, or
// handles fewer requests well than its slots.
func Differ(now time.Time, curves []*Curve, slots []int) bool {
	var sum, known float64
	for i, c := range curves {
		if !c.Pace.IsKnown() {
			continue
		}
		if c.Concurrency(slots[i]) < kneeShare*float64(slots[i]) {
			return true
		}
		sum += c.Pace.Level
		known++
	}
	for _, c := range curves {
		if c.Pace.IsKnown() && math.Abs(c.Pace.Level-sum/known) > max(noiseFactor*c.Pace.noise(now), minDifference) {
			return true
		}
	}
	return false
}

// kneeShare is the share of the slots below which the concurrency counts as measurably less.
const kneeShare = 0.7
