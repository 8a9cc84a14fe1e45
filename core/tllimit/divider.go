package tllimit

import (
	"time"

	"trefoillanding/core/tlendpoint"
)

const (
	// MinRate is the least rate at which permits are given, in requests a second: an
	// endpoint that got nothing could not say that its limit has ended.
	MinRate = 0.1
	// burstTime is the time in which a permit must be used before its rate is lost: it
	// evens out requests that do not come at regular intervals.
	burstTime = 250 * time.Millisecond
	// maxBuckets bounds the endpoints with a limit; the one that was asked for longest ago yields.
	maxBuckets = 10_000
)

// Ask is an instance's question whether it may send a request to an endpoint.
type Ask struct {
	Endpoint tlendpoint.Endpoint
	// Rate is the limit as the instance knows it, and Named when it was last named.
	Rate  float64
	Named time.Time
	// IsFollowUp says that the request is needed to go on with one that has been sent, so
	// that it may use permits ahead of their time.
	IsFollowUp bool
}

// Permit is the answer to an Ask.
type Permit struct {
	// IsGranted says that the request may be sent.
	IsGranted bool
	// IsLifted says that the endpoint names no limit any more.
	IsLifted bool
	// Wait is the time until there may be a permit.
	Wait time.Duration
}

// bucket holds the permits of one endpoint.
type bucket struct {
	endpoint tlendpoint.Endpoint
	rate     float64
	// named is when the limit was last named.
	named time.Time
	// lifted is when a request was sent whose answer named no limit; zero if none is known.
	lifted time.Time
	// saved is the number of permits that can be given, as of filled; it is negative where
	// follow-ups have used permits ahead of their time.
	saved  float64
	filled time.Time
	asked  time.Time
}

// Divider gives out the permits of endpoints that name a limit.
type Divider struct {
	buckets map[string]*bucket
	fleet   Fleet
}

// New returns a Divider without limits.
func New() *Divider {
	return &Divider{buckets: map[string]*bucket{}, fleet: NewFleet()}
}

// SetFleet sets how many instances are in touch with this one, itself included, and how many there are.
func (d *Divider) SetFleet(now time.Time, inTouch, listed int) {
	d.fleet.Set(now, inTouch, listed)
}

// Take answers an instance that wants to send a request.
func (d *Divider) Take(now time.Time, a Ask) Permit {
	b := d.bucketOf(now, a.Endpoint)
	b.asked = now
	b.name(a.Named, a.Rate)
	if !b.isLimited() {
		return Permit{IsGranted: true, IsLifted: true}
	}
	rate := max(b.rate, MinRate) * d.fleet.Share()
	b.fill(now, rate)
	needed := 1.0
	if a.IsFollowUp {
		needed -= burst(rate)
	}
	if b.saved >= needed {
		b.saved--
		return Permit{IsGranted: true}
	}
	return Permit{Wait: time.Duration((needed - b.saved) / rate * float64(time.Second))}
}

// Name records that an endpoint named a limit at a time; it reports whether it is news
// that it has one.
func (d *Divider) Name(now, named time.Time, e tlendpoint.Endpoint, rate float64) bool {
	b := d.bucketOf(now, e)
	wasLimited := b.isLimited()
	b.name(named, rate)
	return !wasLimited && b.isLimited()
}

// Lift records that an answer to a request sent at a time named no limit; it reports
// whether that ends the limit. An answer to a request from before the limit was last
// named ends nothing.
func (d *Divider) Lift(sent time.Time, e tlendpoint.Endpoint) bool {
	b := d.buckets[e.ID]
	if b == nil || !b.endpoint.IsSameIncarnation(e) || !b.isLimited() || !sent.After(b.named) {
		return false
	}
	b.lifted = sent
	return true
}

// bucketOf returns the bucket of an endpoint's incarnation. A new one has no permit yet:
// another instance may have given out the last a moment ago.
func (d *Divider) bucketOf(now time.Time, e tlendpoint.Endpoint) *bucket {
	b := d.buckets[e.ID]
	if b == nil || !b.endpoint.IsSameIncarnation(e) {
		d.makeRoom()
		b = &bucket{endpoint: e, filled: now, asked: now}
		d.buckets[e.ID] = b
	}
	return b
}

func (d *Divider) makeRoom() {
	if len(d.buckets) < maxBuckets {
		return
	}
	oldest := ""
	for id, b := range d.buckets {
		if oldest == "" || b.asked.Before(d.buckets[oldest].asked) {
			oldest = id
		}
	}
	delete(d.buckets, oldest)
}

func (b *bucket) isLimited() bool {
	return b.named.After(b.lifted)
}

func (b *bucket) name(named time.Time, rate float64) {
	if named.After(b.named) {
		b.named, b.rate = named, rate
	}
}

// fill adds the permits since the last call.
func (b *bucket) fill(now time.Time, rate float64) {
	b.saved = min(b.saved+rate*now.Sub(b.filled).Seconds(), burst(rate))
	b.filled = now
}

// burst returns how many permits are saved up at most, and used ahead of their time.
func burst(rate float64) float64 {
	return max(1, rate*burstTime.Seconds())
}
