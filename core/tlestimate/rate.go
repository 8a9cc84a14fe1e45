package tlestimate

import (
	"math"
	"time"
)

// Rate is a decaying average of how much happens in a second.
type Rate struct {
	over  time.Duration
	sum   float64
	last  time.Time
	since time.Time
}

// NewRate returns a rate averaged over about the given time.
func NewRate(over time.Duration) *Rate {
	return &Rate{over: over}
}

// Add counts an amount.
func (r *Rate) Add(now time.Time, amount float64) {
	r.advance(now)
	r.sum += amount
}

// PerSecond returns the amount in a second.
func (r *Rate) PerSecond(now time.Time) float64 {
	if r.last.IsZero() {
		return 0
	}
	r.advance(now)
	seen := 1 - math.Exp(-float64(now.Sub(r.since))/float64(r.over))
	return r.sum / r.over.Seconds() / max(seen, 0.1)
}

func (r *Rate) advance(now time.Time) {
	if r.last.IsZero() {
		r.last, r.since = now, now
		return
	}
	if d := now.Sub(r.last); d > 0 {
		r.sum *= math.Exp(-float64(d) / float64(r.over))
		r.last = now
	}
}
