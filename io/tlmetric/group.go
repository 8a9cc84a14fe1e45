package tlmetric

import "expvar"

// Group is a set of counters of one kind, one for each reason.
type Group struct {
	counters expvar.Map
}

// Count raises the counter of a reason by one.
func (g *Group) Count(reason string) {
	g.counters.Add(reason, 1)
}

// Add raises the counter of a reason by n.
func (g *Group) Add(reason string, n int64) {
	g.counters.Add(reason, n)
}

// Value returns the counter of a reason.
func (g *Group) Value(reason string) int64 {
	v, ok := g.counters.Get(reason).(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}
