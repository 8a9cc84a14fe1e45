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
// leave, or want no requests for a time. A notice holds for one incarnation. It is
// not safe for concurrent use.
type Notices struct {
	byID map[string]*notice
}

type notice struct {
	endpoint  Endpoint
	isLeaving bool
	restUntil time.Time
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
	k := n.byID[e.ID]
	return k != nil && k.isLeaving && k.endpoint.IsSameIncarnation(e)
}

// RestUntil returns until when this incarnation of an endpoint wants no requests; zero if it has not said so.
func (n *Notices) RestUntil(e Endpoint) time.Time {
	k := n.byID[e.ID]
	if k == nil || !k.endpoint.IsSameIncarnation(e) {
		return time.Time{}
	}
	return k.restUntil
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
