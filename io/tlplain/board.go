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
	// drainingFor is how long an endpoint's own word that it leaves is believed.
	drainingFor = 10 * time.Second
	// suspectFor is how long an endpoint that could not be reached comes last.
	suspectFor = 2 * time.Second
)

// board remembers what this instance saw of each endpoint.
type board struct {
	dataCentre string
	leaving    func(endpoint string) bool

	mu        sync.Mutex
	endpoints map[string]*sighting
}

// sighting is what was seen of one endpoint.
type sighting struct {
	open          int
	drainingUntil time.Time
	suspectUntil  time.Time
}

// ranked is an endpoint with what its place depends on.
type ranked struct {
	endpoint  tlwire.PlainEndpoint
	isSuspect bool
	isRemote  bool
	open      int
	draw      uint64
}

func newBoard(dataCentre string, leaving func(string) bool) *board {
	return &board{dataCentre: dataCentre, leaving: leaving, endpoints: map[string]*sighting{}}
}

// rank returns the endpoints that may take a new call, best first.
func (b *board) rank(now time.Time, all []tlwire.PlainEndpoint) []tlwire.PlainEndpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var r []ranked
	for _, e := range all {
		s := b.of(e.Name)
		if now.Before(s.drainingUntil) || b.leaving(e.Name) {
			continue
		}
		r = append(r, ranked{
			endpoint:  e,
			isSuspect: now.Before(s.suspectUntil),
			isRemote:  e.DataCentre != b.dataCentre,
			open:      s.open,
			draw:      rand.Uint64(),
		})
	}
	slices.SortFunc(r, compare)
	out := make([]tlwire.PlainEndpoint, len(r))
	for i, v := range r {
		out[i] = v.endpoint
	}
	return out
}

func compare(a, b ranked) int {
	return cmp.Or(
		compareBool(a.isSuspect, b.isSuspect),
		compareBool(a.isRemote, b.isRemote),
		cmp.Compare(a.open, b.open),
		cmp.Compare(a.draw, b.draw),
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

// enter counts an open call until the function that it returns is called.
func (b *board) enter(name string) func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(name)
	s.open++
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		s.open--
	}
}

func (b *board) suspect(now time.Time, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(name).suspectUntil = now.Add(suspectFor)
}

func (b *board) draining(now time.Time, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(name).drainingUntil = now.Add(drainingFor)
}

// of needs the mutex.
func (b *board) of(name string) *sighting {
	s, ok := b.endpoints[name]
	if !ok {
		s = &sighting{}
		b.endpoints[name] = s
	}
	return s
}
