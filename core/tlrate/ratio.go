package tlrate

import "time"

// Ratio is an estimate of the time for each unit of something, as the average time
// over the average number of units: an average of ratios would be too high where the
// units are a guess, and where each time has a fixed part.
type Ratio struct {
	// Time is the average time, in seconds, and Units the average number of units.
	Time, Units Estimate
}

// Add takes in a measurement: the time that so many units took. One that is not
// positive is ignored.
func (r *Ratio) Add(took time.Duration, units int) {
	if took <= 0 || units <= 0 {
		return
	}
	s := took.Seconds()
	if r.IsKnown() {
		s = bounded(s, r.Value()*float64(units))
	}
	r.Time.Add(s)
	r.Units.Add(float64(units))
}

// IsKnown reports whether the ratio rests on enough measurements to decide by.
func (r Ratio) IsKnown() bool {
	return r.Time.IsKnown() && r.Units.IsKnown()
}

// Value returns the seconds for each unit, or 0 while they are unknown.
func (r Ratio) Value() float64 {
	if !r.IsKnown() {
		return 0
	}
	return r.Time.Value() / r.Units.Value()
}

// Of returns the time for so many units; 0 while it is unknown.
func (r Ratio) Of(units int) time.Duration {
	return time.Duration(r.Value() * float64(units) * float64(time.Second))
}

// Merge takes in the ratio of another instance, weighted by its measurements.
func (r *Ratio) Merge(o Ratio) {
	if o.Time.Samples != o.Units.Samples {
		return
	}
	r.Time.Merge(o.Time)
	r.Units.Merge(o.Units)
}
