package tlmetric

import "expvar"

// Group is a set of counters of one kind, one for each reason.
type Group struct {
	counters expvar.Map
}

// Count adds one to the counter of a reason.
func (g *Group) Count(reason string) {
	g.counters.Add(reason, 1)
}

// Add adds n to the counter of a reason.
func (g *Group) Add(reason string, n int64) {
	g.counters.Add(reason, n)
}

// Value returns the counter of a reason, or 0 if it was never set.
func (g *Group) Value(reason string) int64 {
	v, ok := g.counters.Get(reason).(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}
