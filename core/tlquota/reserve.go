package tlquota

import (
	"time"

	"trefoillanding/core/tllimit"
)

// Reserve decides at an instance whose home of an organisation gives no answer. It grants
// this instance's part of the quota; it is not safe for concurrent use.
type Reserve struct {
	buckets buckets
	fleet   tllimit.Fleet
}

// NewReserve returns a Reserve without organisations.
func NewReserve() *Reserve {
	return &Reserve{buckets: buckets{}, fleet: tllimit.NewFleet()}
}

// SetFleet sets how many instances there are.
func (r *Reserve) SetFleet(now time.Time, listed int) {
	r.fleet.Set(now, 1, listed)
}

// Take charges an organisation for a request. It may overdraw the bucket by one request,
// since the part of an instance can be smaller than any request.
func (r *Reserve) Take(now time.Time, organisation string, limit Limit, cost float64) Grant {
	share := r.fleet.OwnShare()
	b, isNew := r.buckets.of(now, organisation, limit, func(m Limit) float64 { return m.Rate * share })
	b.fill(now, share)
	g := b.take(0, cost, share)
	g.IsNew = isNew
	return g
}

// Granted returns what was granted to each organisation.
func (r *Reserve) Granted() map[string]float64 {
	return r.buckets.granted()
}
