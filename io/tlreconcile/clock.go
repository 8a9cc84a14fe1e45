package tlreconcile

import "time"

// clock estimates the offset of an engine's clock, which dates the engine's reports,
// from the local clock.
type clock struct {
	hasOffset bool
	offset    time.Duration
	lastOrder time.Time
}

// isFresh says whether a report received now was made after the last order.
func (c *clock) isFresh(now, reported time.Time) bool {
	offset := reported.Sub(now)
	if !c.hasOffset || offset > c.offset {
		c.hasOffset, c.offset = true, offset
	}
	return reported.After(c.lastOrder)
}

// noteOrder records an order sent now, in the engine's time; the clock offset is
// taken from the report with the least lag so far.
func (c *clock) noteOrder(now time.Time) {
	c.lastOrder = now.Add(c.offset)
}
