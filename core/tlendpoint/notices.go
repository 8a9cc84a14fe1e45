package tlendpoint

import "time"

const (
	// noticeExpiry is how long a notice is kept after its endpoint was last listed: an
	// entry that lapses around an outage of the store comes back within seconds.
	noticeExpiry = 10 * time.Minute
	// maxNotices bounds the endpoints with a notice; a fleet has fewer endpoints that leave within noticeExpiry.
	maxNotices = 10_000
)

// Notices holds what endpoints have said of themselves in their answers: that they
// leave, want no requests for a time, or take a limited rate of them. A notice holds
// for one incarnation. It is not safe for concurrent use.
type Notices struct {
	byID map[string]*notice
}

type notice struct {
	endpoint  Endpoint
	isLeaving bool
	restUntil time.Time
	// limit is the rate that the endpoint names, as it was heard at limitNamed; limitNamed
	// is zero if it names none.
	limit      float64
	limitNamed time.Time
	// heldOffUntil is until when there is no permit for it within its limit.
	heldOffUntil time.Time
	// seen is when the endpoint was last listed or heard.
	seen time.Time
}

// NewNotices returns an empty table.
func NewNotices() *Notices {
	return &Notices{byID: map[string]*notice{}}
}

// Leaving records that an endpoint leaves; it reports whether that is news.
func (n *Notices) Leaving(now time.Time, e Endpoint) bool {
	k := n.noticeOf(now, e)
	isNews := !k.isLeaving
	k.isLeaving = true
	return isNews
}

// Rest records that an endpoint wants no requests until a time; it reports whether it was not resting before.
func (n *Notices) Rest(now, until time.Time, e Endpoint) bool {
	k := n.noticeOf(now, e)
	isNews := !now.Before(k.restUntil)
	if until.After(k.restUntil) {
		k.restUntil = until
	}
	return isNews
}

// IsLeaving reports whether this incarnation of an endpoint has said that it leaves.
func (n *Notices) IsLeaving(e Endpoint) bool {
	return n.of(e).isLeaving
}

// ClosedUntil returns until when this incarnation of an endpoint may be sent no requests,
// since it wants none or its limit allows none; zero if it may be sent some now.
func (n *Notices) ClosedUntil(e Endpoint) time.Time {
	k := n.of(e)
	if k.heldOffUntil.After(k.restUntil) {
		return k.heldOffUntil
	}
	return k.restUntil
}

// RestUntil returns until when this incarnation of an endpoint wants no requests; zero if it has not said so.
func (n *Notices) RestUntil(e Endpoint) time.Time {
	return n.of(e).restUntil
}

// Limit records that an endpoint named a limit, in requests a second, at a time; it
// reports whether it named none before. An older word than the last changes nothing.
func (n *Notices) Limit(now, named time.Time, e Endpoint, rate float64) bool {
	k := n.noticeOf(now, e)
	isNews := k.limitNamed.IsZero()
	if isNews || named.After(k.limitNamed) {
		k.limit, k.limitNamed = rate, named
	}
	return isNews
}

// Unlimit records that an endpoint names a limit no more; it reports whether it did before.
func (n *Notices) Unlimit(e Endpoint) bool {
	if _, _, ok := n.LimitOf(e); !ok {
		return false
	}
	k := n.byID[e.ID]
	k.limit, k.limitNamed, k.heldOffUntil = 0, time.Time{}, time.Time{}
	return true
}

// HoldOff records that there is no permit for an endpoint within its limit until a time.
func (n *Notices) HoldOff(now, until time.Time, e Endpoint) {
	n.noticeOf(now, e).heldOffUntil = until
}

// LimitOf returns the limit that this incarnation of an endpoint names, and when it was last heard.
func (n *Notices) LimitOf(e Endpoint) (rate float64, named time.Time, ok bool) {
	k := n.of(e)
	return k.limit, k.limitNamed, !k.limitNamed.IsZero()
}

// Limits returns the limits that endpoints name, by their IDs.
func (n *Notices) Limits() map[string]float64 {
	limits := map[string]float64{}
	for id, k := range n.byID {
		if !k.limitNamed.IsZero() {
			limits[id] = k.limit
		}
	}
	return limits
}

// Listed records which endpoints are listed now, and drops notices that have expired.
func (n *Notices) Listed(now time.Time, list []Endpoint) {
	for _, e := range list {
		if k := n.byID[e.ID]; k != nil {
			k.seen = now
		}
	}
	for id, k := range n.byID {
		if now.Sub(k.seen) > noticeExpiry {
			delete(n.byID, id)
		}
	}
}

// of returns what is known of an endpoint's incarnation, which may be nothing.
func (n *Notices) of(e Endpoint) notice {
	k := n.byID[e.ID]
	if k == nil || !k.endpoint.IsSameIncarnation(e) {
		return notice{}
	}
	return *k
}

// noticeOf returns the notice of an endpoint's incarnation, which replaces that of another one.
func (n *Notices) noticeOf(now time.Time, e Endpoint) *notice {
	k := n.byID[e.ID]
	if k == nil || !k.endpoint.IsSameIncarnation(e) {
		n.makeRoom()
		k = &notice{endpoint: e}
		n.byID[e.ID] = k
	}
	k.seen = now
	return k
}

// makeRoom drops the notice that was seen longest ago where there are too many.
func (n *Notices) makeRoom() {
	if len(n.byID) < maxNotices {
		return
	}
	oldest := ""
	for id, k := range n.byID {
		if oldest == "" || k.seen.Before(n.byID[oldest].seen) {
			oldest = id
		}
	}
	delete(n.byID, oldest)
}
