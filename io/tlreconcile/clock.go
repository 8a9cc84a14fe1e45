package tlreconcile

import "time"

// clock relates an engine's clock, by which it dates its reports, to the one here.
type clock struct {
	known   bool
	offset  time.Duration
	ordered time.Time
}

// isFresh says whether a report that came now was made after the last order.
func (c *clock) isFresh(now, reported time.Time) bool {
	offset := reported.Sub(now)
	if !c.known || offset > c.offset {
		c.known, c.offset = true, offset
	}
	return reported.After(c.ordered)
}

// order notes an order given now, in the engine's time; the report with the
// least lag so far tells how far that clock is off.
func (c *clock) order(now time.Time) {
	c.ordered = now.Add(c.offset)
}
