package tlhealth

import (
	"math/rand/v2"
	"time"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlpace"
)

// Table holds the health records of endpoints; it is not safe for concurrent use.
type Table struct {
	records      map[string]*record
	incarnations map[string]tlendpoint.Endpoint
	random       *rand.Rand
	// curves and slots are room for isUneven.
	curves []*tlpace.Curve
	slots  []int
}

// New returns a table without records; r is the source of the jitter.
func New(r *rand.Rand) *Table {
	return &Table{
		records:      map[string]*record{},
		incarnations: map[string]tlendpoint.Endpoint{},
		random:       r,
	}
}

// Retain deletes the records of endpoints that are no longer listed or were restarted.
func (t *Table) Retain(list []tlendpoint.Endpoint) {
	listed := make(map[string]tlendpoint.Endpoint, len(list))
	for _, e := range list {
		listed[e.ID] = e
		if old, ok := t.incarnations[e.ID]; ok && !old.IsSameIncarnation(e) {
			delete(t.records, e.ID)
		}
	}
	for id := range t.records {
		if _, ok := listed[id]; !ok {
			delete(t.records, id)
		}
	}
	t.incarnations = listed
}

func (t *Table) record(id string) *record {
	r, ok := t.records[id]
	if !ok {
		r = &record{meanAnswerTime: initialAnswerTime}
		t.records[id] = r
	}
	return r
}

// Pick returns the endpoint for a request, and counts the request as in flight
// there; endpoints whose ID is in avoid are picked only if there is no other.
// mayRepeat says that the request may be sent again, so that it can probe a
// failing endpoint. It returns false if all are draining or the list is empty.
func (t *Table) Pick(now time.Time, list []tlendpoint.Endpoint, avoid []string, mayRepeat bool) (tlendpoint.Endpoint, bool) {
	var best tlendpoint.Endpoint
	var bestRank rank
	found := false
	isUneven := t.isUneven(now, list)
	for _, e := range list {
		if e.IsDraining {
			continue
		}
		r := t.rank(now, e, avoid, mayRepeat, isUneven)
		if !found || r.isBefore(bestRank) {
			best, bestRank, found = e, r, true
		}
	}
	if found {
		k := t.record(best.ID)
		k.inFlight++
		k.slots = best.Slots
		k.isProbing = k.isFailing()
	}
	return best, found
}

// isUneven reports whether the endpoints of a list differ measurably in their times.
func (t *Table) isUneven(now time.Time, list []tlendpoint.Endpoint) bool {
	t.curves, t.slots = t.curves[:0], t.slots[:0]
	for _, e := range list {
		if k, ok := t.records[e.ID]; ok && !e.IsDraining {
			t.curves, t.slots = append(t.curves, &k.curve), append(t.slots, e.Slots)
		}
	}
	return tlpace.Differ(now, t.curves, t.slots)
}

// Begin counts a request as in flight at an endpoint that was chosen without Pick.
func (t *Table) Begin(id string) {
	t.record(id).inFlight++
}

// IsDoubted reports whether a request should go to another endpoint, since this one has
// failed lately; what it refused for lack of capacity doesn't count.
func (t *Table) IsDoubted(now time.Time, id string, mayRepeat bool) bool {
	r, ok := t.records[id]
	if !ok {
		return false
	}
	if r.isFailing() {
		return !mayRepeat || now.Before(r.backoffUntil)
	}
	return !mayRepeat && r.isLossy()
}

// Observe records the outcome of a send to an endpoint and how long it took.
func (t *Table) Observe(now time.Time, id string, o Outcome, took time.Duration) {
	t.record(id).observe(now, o, took)
}

// IsFailing reports whether the endpoint has failed since its last answer.
func (t *Table) IsFailing(id string) bool {
	r, ok := t.records[id]
	return ok && r.isFailing()
}

// MeanAnswerTime returns the moving average of an endpoint's answer time.
func (t *Table) MeanAnswerTime(id string) time.Duration {
	return t.record(id).meanAnswerTime
}

// Curve returns the measured answer time of an endpoint as a function of its load, and
// false if there is none.
func (t *Table) Curve(id string) (tlpace.Curve, bool) {
	r, ok := t.records[id]
	if !ok || r.curve.Pace.Samples == 0 {
		return tlpace.Curve{}, false
	}
	return r.curve, true
}

// PaceChange returns the time of an endpoint's answers as it was last returned and as it is
// now, and whether it has changed much since.
func (t *Table) PaceChange(id string) (before, after time.Duration, isChanged bool) {
	return t.record(id).paceChange()
}
