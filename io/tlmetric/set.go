package tlmetric

import (
	"expvar"
	"fmt"
	"net/http"
)

// Root is the key of an instance's counters in the served JSON object.
const Root = "trefoillanding"

// Set holds the counters of one instance; all groups must be created before several goroutines use it.
type Set struct {
	groups expvar.Map
	byName map[string]*Group
}

// New returns an empty set.
func New() *Set {
	return &Set{byName: map[string]*Group{}}
}

// Group returns the group of a name, creating it if needed, with a counter for each reason that starts at zero.
func (s *Set) Group(name string, reasons ...string) *Group {
	g, ok := s.byName[name]
	if !ok {
		g = &Group{}
		s.byName[name] = g
	}
	for _, r := range reasons {
		g.counters.Add(r, 0)
	}
	s.groups.Set(name, &g.counters)
	return g
}

// Gauge publishes a value that is read each time the counters are served.
func (s *Set) Gauge(name string, read func() any) {
	s.groups.Set(name, expvar.Func(read))
}

// Histogram returns a new histogram, published under a name.
func (s *Set) Histogram(name string) *Histogram {
	h := NewHistogram()
	s.groups.Set(name, h)
	return h
}

// String returns the counters as JSON.
func (s *Set) String() string {
	return s.groups.String()
}

// ServeHTTP writes the expvar variables of the process together with this instance's counters, as JSON.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintf(w, "{\n%q: %s", Root, s.groups.String())
	expvar.Do(func(v expvar.KeyValue) {
		fmt.Fprintf(w, ",\n%q: %s", v.Key, v.Value)
	})
	fmt.Fprint(w, "\n}\n")
}
