package tlplain

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"trefoillanding/core/tlwire"
)

const (
	// drainingPeriod is how long an endpoint gets no calls after it answered that it
	// is draining.
	drainingPeriod = 10 * time.Second
	// suspectPeriod is how long an endpoint is ranked last after it could not be
	// reached or timed out.
	suspectPeriod = 2 * time.Second
)

// endpointTracker holds the state of each endpoint as this instance observed it.
type endpointTracker struct {
	dataCentre string
	leaving    func(endpoint string) bool

	mu     sync.Mutex
	states map[string]*endpointState
}

// endpointState is the observed state of one endpoint.
type endpointState struct {
	openCalls     int
	drainingUntil time.Time
	suspectUntil  time.Time
}

// candidate is an endpoint with the values by which it is ranked.
type candidate struct {
	endpoint   tlwire.PlainEndpoint
	isSuspect  bool
	isRemote   bool
	openCalls  int
	tieBreaker uint64
}

func newEndpointTracker(dataCentre string, leaving func(string) bool) *endpointTracker {
	return &endpointTracker{dataCentre: dataCentre, leaving: leaving, states: map[string]*endpointState{}}
}

// rank returns the endpoints that may take a new call, best first.
func (t *endpointTracker) rank(now time.Time, all []tlwire.PlainEndpoint) []tlwire.PlainEndpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var r []candidate
	for _, e := range all {
		s := t.state(e.Name)
		if now.Before(s.drainingUntil) || t.leaving(e.Name) {
			continue
		}
		r = append(r, candidate{
			endpoint:   e,
			isSuspect:  now.Before(s.suspectUntil),
			isRemote:   e.DataCentre != t.dataCentre,
			openCalls:  s.openCalls,
			tieBreaker: rand.Uint64(),
		})
	}
	slices.SortFunc(r, compareCandidates)
	out := make([]tlwire.PlainEndpoint, len(r))
	for i, v := range r {
		out[i] = v.endpoint
	}
	return out
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		compareBool(a.isSuspect, b.isSuspect),
		compareBool(a.isRemote, b.isRemote),
		cmp.Compare(a.openCalls, b.openCalls),
		cmp.Compare(a.tieBreaker, b.tieBreaker),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// beginCall counts an open call until the returned function is called.
func (t *endpointTracker) beginCall(name string) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	s.openCalls++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		s.openCalls--
	}
}

func (t *endpointTracker) markSuspect(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(name).suspectUntil = now.Add(suspectPeriod)
}

func (t *endpointTracker) markDraining(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(name).drainingUntil = now.Add(drainingPeriod)
}

// state returns the endpoint's state, which it adds if there is none; the caller
// holds the mutex.
func (t *endpointTracker) state(name string) *endpointState {
	s, ok := t.states[name]
	if !ok {
		s = &endpointState{}
		t.states[name] = s
	}
	return s
}
