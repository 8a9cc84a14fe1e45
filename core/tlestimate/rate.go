package tlestimate

import (
	"math"
	"time"
)

// Rate is an exponentially decaying average of an amount per second.
type Rate struct {
	timeConstant time.Duration
	sum          float64
	lastUpdate   time.Time
	firstUpdate  time.Time
}

// NewRate returns a rate that decays with the given time constant.
func NewRate(timeConstant time.Duration) *Rate {
	return &Rate{timeConstant: timeConstant}
}

// Add records an amount.
func (r *Rate) Add(now time.Time, amount float64) {
	r.advance(now)
	r.sum += amount
}

// PerSecond returns the average amount per second; it corrects for an observed time that is short against the time constant.
func (r *Rate) PerSecond(now time.Time) float64 {
	if r.lastUpdate.IsZero() {
		return 0
	}
	r.advance(now)
	seen := 1 - math.Exp(-float64(now.Sub(r.firstUpdate))/float64(r.timeConstant))
	return r.sum / r.timeConstant.Seconds() / max(seen, 0.1)
}

func (r *Rate) advance(now time.Time) {
	if r.lastUpdate.IsZero() {
		r.lastUpdate, r.firstUpdate = now, now
		return
	}
	if d := now.Sub(r.lastUpdate); d > 0 {
		r.sum *= math.Exp(-float64(d) / float64(r.timeConstant))
		r.lastUpdate = now
	}
}
