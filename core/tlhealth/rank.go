package tlhealth

import (
	"slices"
	"time"

	"trefoillanding/core/tlendpoint"
)

// The classes of endpoints, in order of preference.
const (
	classProbe = iota
	classHealthy
	classLossy
	classBackingOff
	classAlreadyTried
)

// rank orders endpoints for one request: by class, then by expected cost.
type rank struct {
	class int
	cost  float64
}

// costJitter is the largest random fraction added to a cost, so that instances
// with the same records do not all pick the same endpoint.
const costJitter = 0.1

func (r rank) isBefore(o rank) bool {
	if r.class != o.class {
		return r.class < o.class
	}
	return r.cost < o.cost
}

func (t *Table) rank(now time.Time, e tlendpoint.Endpoint, avoid []string, mayRepeat, isUneven bool) rank {
	k := t.record(e.ID)
	cost := k.cost(e.Slots)
	if isUneven && k.curve.Pace.IsKnown() {
		cost = k.unevenCost(e.Slots)
	}
	cost *= 1 + costJitter*t.random.Float64()
	if slices.Contains(avoid, e.ID) {
		return rank{classAlreadyTried, cost}
	}
	if now.Before(k.backoffUntil) {
		return rank{classBackingOff, cost}
	}
	if !k.isFailing() && !mayRepeat && k.isLossy() {
		return rank{classLossy, cost}
	}
	if !k.isFailing() {
		return rank{classHealthy, cost}
	}
	if mayRepeat && !k.isProbing {
		return rank{classProbe, cost}
	}
	return rank{classBackingOff, cost}
}
