package tlquota

import (
	"time"

	"trefoillanding/core/tllimit"
)

// newShare is the part of its burst with which a bucket begins. A full one would let a
// hot organisation have its burst again at each change of home; an empty one would refuse
// requests within the quota.
const newShare = 0.5

// Ledger has the buckets of the organisations whose home an instance is; it is not safe
// for concurrent use.
type Ledger struct {
	buckets buckets
	fleet   tllimit.Fleet
}

// NewLedger returns a Ledger without organisations.
func NewLedger() *Ledger {
	return &Ledger{buckets: buckets{}, fleet: tllimit.NewFleet()}
}

// SetFleet sets how many instances are in touch with this one, itself included, and how many there are.
func (l *Ledger) SetFleet(now time.Time, inTouch, listed int) {
	l.fleet.Set(now, inTouch, listed)
}

// Take charges an organisation for a request. A request that costs more than the whole
// burst is granted once the bucket is full, which it then overdraws.
func (l *Ledger) Take(now time.Time, organisation string, limit Limit, cost float64) Grant {
	share := l.fleet.Share()
	b, isNew := l.buckets.of(now, organisation, limit, func(m Limit) float64 { return newShare * m.Burst * share })
	b.fill(now, share)
	g := b.take(min(cost, b.limit.Burst*share), cost, share)
	g.IsNew = isNew
	return g
}

// GiveBack returns what a request was charged that has not run; it reports whether the
// organisation has a bucket here.
func (l *Ledger) GiveBack(organisation string, cost float64) bool {
	b := l.buckets[organisation]
	if b != nil {
		b.level += cost
	}
	return b != nil
}

// Granted returns what was granted to each organisation.
func (l *Ledger) Granted() map[string]float64 {
	return l.buckets.granted()
}

// Levels returns what each organisation may send at once, as of its last request.
func (l *Ledger) Levels() map[string]float64 {
	levels := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		levels[name] = b.level
	}
	return levels
}
