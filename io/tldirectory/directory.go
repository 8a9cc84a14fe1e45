package tldirectory

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlhealth"
)

// Directory is safe for concurrent use.
type Directory struct {
	mu        sync.Mutex
	byService map[string][]tlendpoint.Endpoint
	byID      map[string]tlendpoint.Endpoint
	health    *tlhealth.Table
	loaded    bool
	changed   func(id string, before, after bool)
}

// New returns an empty directory; changed is told when an endpoint becomes doubted or trusted again.
func New(r *rand.Rand, changed func(id string, before, after bool)) *Directory {
	return &Directory{
		byService: map[string][]tlendpoint.Endpoint{},
		byID:      map[string]tlendpoint.Endpoint{},
		health:    tlhealth.New(r),
		changed:   changed,
	}
}

// Set takes in all endpoints in place of those known.
func (d *Directory) Set(all []tlendpoint.Endpoint) {
	byService := map[string][]tlendpoint.Endpoint{}
	byID := make(map[string]tlendpoint.Endpoint, len(all))
	for _, e := range all {
		byService[e.Service] = append(byService[e.Service], e)
		byID[e.ID] = e
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byService, d.byID, d.loaded = byService, byID, true
	d.health.Keep(all)
}

// IsLoaded says whether endpoints have been taken in.
func (d *Directory) IsLoaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// Endpoints returns the endpoints of a service; the list is not changed later.
func (d *Directory) Endpoints(service string) []tlendpoint.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byService[service]
}

// Find returns an endpoint that may be sent to.
func (d *Directory) Find(id string) (tlendpoint.Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.byID[id]
	return e, ok && !e.IsDraining
}

// Pick returns the endpoint of a service for a request; see tlhealth.Table.Pick.
func (d *Directory) Pick(now time.Time, service string, avoid []string, mayRepeat bool) (tlendpoint.Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.health.Pick(now, d.byService[service], avoid, mayRepeat)
}

// Observe takes in the outcome of a send.
func (d *Directory) Observe(now time.Time, id string, o tlhealth.Outcome, took time.Duration) {
	d.mu.Lock()
	before := d.health.IsDoubted(id)
	d.health.Observe(now, id, o, took)
	after := d.health.IsDoubted(id)
	d.mu.Unlock()
	if before != after {
		d.changed(id, before, after)
	}
}

// TypicalAnswerTime returns the usual time of an endpoint's answers.
func (d *Directory) TypicalAnswerTime(id string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.health.MeanAnswerTime(id)
}

// Doubted returns the endpoints whose last sends failed, in order of their IDs.
func (d *Directory) Doubted() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []string{}
	for id := range d.byID {
		if d.health.IsDoubted(id) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}
