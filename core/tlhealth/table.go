package tlhealth

import (
	"math/rand/v2"
	"time"

	"trefoillanding/core/tlendpoint"
)

// Table holds the records of endpoints; it is not safe for concurrent use.
type Table struct {
	records map[string]*record
	born    map[string]tlendpoint.Endpoint
	random  *rand.Rand
}

// New returns a table that knows nothing.
func New(r *rand.Rand) *Table {
	return &Table{
		records: map[string]*record{},
		born:    map[string]tlendpoint.Endpoint{},
		random:  r,
	}
}

// Keep forgets endpoints that are no longer listed, and those that started anew.
func (t *Table) Keep(list []tlendpoint.Endpoint) {
	listed := make(map[string]tlendpoint.Endpoint, len(list))
	for _, e := range list {
		listed[e.ID] = e
		if old, ok := t.born[e.ID]; ok && !old.IsSame(e) {
			delete(t.records, e.ID)
		}
	}
	for id := range t.records {
		if _, ok := listed[id]; !ok {
			delete(t.records, id)
		}
	}
	t.born = listed
}

func (t *Table) record(id string) *record {
	r, ok := t.records[id]
	if !ok {
		r = &record{took: usualTime}
		t.records[id] = r
	}
	return r
}

// Pick returns the endpoint for a request, and counts it as sent there; those
// named in avoid are taken only if there is no other. mayRepeat says that the
// request may be sent again, so that a doubted endpoint can be tried with it.
func (t *Table) Pick(now time.Time, list []tlendpoint.Endpoint, avoid []string, mayRepeat bool) (tlendpoint.Endpoint, bool) {
	var best tlendpoint.Endpoint
	var bestRank rank
	found := false
	for _, e := range list {
		if e.IsDraining {
			continue
		}
		r := t.rank(now, e, avoid, mayRepeat)
		if !found || r.isBefore(bestRank) {
			best, bestRank, found = e, r, true
		}
	}
	if found {
		k := t.record(best.ID)
		k.open++
		k.isProbed = k.isDoubted()
	}
	return best, found
}

// Observe takes in the outcome of a send.
func (t *Table) Observe(now time.Time, id string, o Outcome, took time.Duration) {
	t.record(id).observe(now, o, took)
}

// IsDoubted says whether an endpoint's last sends failed.
func (t *Table) IsDoubted(id string) bool {
	r, ok := t.records[id]
	return ok && r.isDoubted()
}

// MeanAnswerTime returns the usual time of an endpoint's answers.
func (t *Table) MeanAnswerTime(id string) time.Duration {
	return t.record(id).took
}
