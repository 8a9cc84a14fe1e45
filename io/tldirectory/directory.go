package tldirectory

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlhealth"
)

// Directory holds endpoints and their health; it is safe for concurrent use.
type Directory struct {
	mu        sync.Mutex
	byService map[string][]tlendpoint.Endpoint
	byID      map[string]tlendpoint.Endpoint
	health    *tlhealth.Table
	isLoaded  bool
	onChange  func(id string, before, after bool)
}

// New returns an empty directory. onChange is called, without the lock held, when
// an endpoint starts or stops failing; before and after say whether it was failing.
func New(r *rand.Rand, onChange func(id string, before, after bool)) *Directory {
	return &Directory{
		byService: map[string][]tlendpoint.Endpoint{},
		byID:      map[string]tlendpoint.Endpoint{},
		health:    tlhealth.New(r),
		onChange:  onChange,
	}
}

// Set replaces all known endpoints.
func (d *Directory) Set(all []tlendpoint.Endpoint) {
	byService := map[string][]tlendpoint.Endpoint{}
	byID := make(map[string]tlendpoint.Endpoint, len(all))
	for _, e := range all {
		byService[e.Service] = append(byService[e.Service], e)
		byID[e.ID] = e
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byService, d.byID, d.isLoaded = byService, byID, true
	d.health.Retain(all)
}

// IsLoaded says whether Set has been called.
func (d *Directory) IsLoaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isLoaded
}

// Endpoints returns the endpoints of a service; the returned slice is never modified.
func (d *Directory) Endpoints(service string) []tlendpoint.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byService[service]
}

// Find returns an endpoint by its ID; false if it is unknown or draining.
func (d *Directory) Find(id string) (tlendpoint.Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.byID[id]
	return e, ok && !e.IsDraining
}

// Pick returns an endpoint of a service for a request; see tlhealth.Table.Pick.
func (d *Directory) Pick(now time.Time, service string, avoid []string, mayRepeat bool) (tlendpoint.Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.health.Pick(now, d.byService[service], avoid, mayRepeat)
}

// Observe records the outcome of a request sent to an endpoint and how long it took.
func (d *Directory) Observe(now time.Time, id string, o tlhealth.Outcome, took time.Duration) {
	d.mu.Lock()
	before := d.health.IsFailing(id)
	d.health.Observe(now, id, o, took)
	after := d.health.IsFailing(id)
	d.mu.Unlock()
	if before != after {
		d.onChange(id, before, after)
	}
}

// TypicalAnswerTime returns the average time in which an endpoint answers.
func (d *Directory) TypicalAnswerTime(id string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.health.MeanAnswerTime(id)
}

// Failing returns the IDs of the endpoints whose last requests failed, sorted.
func (d *Directory) Failing() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []string{}
	for id := range d.byID {
		if d.health.IsFailing(id) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}
