package tlquota

import (
	"time"

	"trefoillanding/core/tllimit"
)

// A full bucket at the beginning would let a hot organisation have its burst again at each
// change of home; an empty one would refuse requests within the quota.
const (
	// newShare is the part of its burst with which a bucket begins.
	newShare = 0.125
	// newMost is the part with which it begins if its first request costs so much.
	newMost = 0.5
)

// leastKnowing bounds the part of all instances from which what the others were granted is
// estimated: a few say little of many.
const leastKnowing = 0.5

// Ledger has the buckets of the organisations whose home an instance is; it is not safe
// for concurrent use.
type Ledger struct {
	buckets map[string]*bucket
	fleet   tllimit.Fleet
	window  time.Duration
	// restarts has when instances in touch have started again within the last window.
	restarts []time.Time
}

// NewLedger returns a Ledger without organisations. What homes one after the other grant
// is counted over any window of the given length.
func NewLedger(window time.Duration) *Ledger {
	return &Ledger{buckets: map[string]*bucket{}, fleet: tllimit.NewFleet(), window: window}
}

// SetFleet sets how many instances are in touch with this one, itself included, how many
// there are, and when those in touch have started again within the last window.
func (l *Ledger) SetFleet(now time.Time, inTouch, listed int, restarts ...time.Time) {
	l.fleet.Set(now, inTouch, listed)
	l.restarts = restarts
}

// knowing returns the part of all instances that are in touch and know what they were
// granted at a time.
func (l *Ledger) knowing(at time.Time) float64 {
	forgetful := 0
	for _, r := range l.restarts {
		if r.After(at) {
			forgetful++
		}
	}
	return max(l.fleet.Share()-float64(forgetful)*l.fleet.OwnShare(), leastKnowing)
}

// Take charges an organisation for a request. A request that costs more than the whole
// burst is granted once the bucket is full, which it then overdraws. The instance that
// took the request tells what others have granted to its requests.
func (l *Ledger) Take(now time.Time, organisation string, limit Limit, cost float64, told ...Spent) Grant {
	share := l.fleet.Share()
	b := l.buckets[organisation]
	isNew := b == nil
	if isNew {
		dropLongestUnasked(l.buckets, func(b *bucket) time.Time { return b.asked })
		level := max(newShare*limit.Burst, min(cost, newMost*limit.Burst)) * share
		b = &bucket{limit: limit, level: level, began: now, filled: now, recent: newRecent(l.window), untold: newRecent(l.window)}
		l.buckets[organisation] = b
	}
	b.asked = now
	if limit.Version >= b.limit.Version {
		b.setLimit(limit)
	}
	b.fill(now, share)
	beginsAnew := l.count(b, now, told)
	g := b.take(now, cost, share, l.knowing)
	g.IsNew = isNew || beginsAnew
	return g
}

// count takes in what others have granted. What they granted since the bucket began it
// didn't charge. If another instance was the home meanwhile, the bucket filled at both: this
// one begins anew, which count reports.
func (l *Ledger) count(b *bucket, now time.Time, told []Spent) (beginsAnew bool) {
	for _, s := range told {
		at := now.Add(-max(s.Age, 0))
		b.note(now, at, s.Cost, l.knowing(at))
		if !at.After(b.began) {
			continue
		}
		b.level -= s.Cost
		if s.IsByHome {
			b.level = min(b.level, newShare*b.limit.Burst*l.fleet.Share())
			b.began = now
			beginsAnew = true
		}
	}
	return beginsAnew
}

// GiveBack returns what a request was charged that has not run; it reports whether the
// organisation has a bucket here.
func (l *Ledger) GiveBack(organisation string, cost float64) bool {
	b := l.buckets[organisation]
	if b != nil {
		b.level += cost
		b.recent.remove(cost)
	}
	return b != nil
}

// Granted returns what was granted to each organisation.
func (l *Ledger) Granted() map[string]float64 {
	return byOrganisation(l.buckets, func(b *bucket) float64 { return b.granted })
}

// Levels returns what each organisation may send at once, as of its last request.
func (l *Ledger) Levels() map[string]float64 {
	return byOrganisation(l.buckets, func(b *bucket) float64 { return b.level })
}
