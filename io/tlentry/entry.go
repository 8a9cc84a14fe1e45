package tlentry

import (
	"net/http"
	"sync/atomic"

	"trefoillanding/core/tlverdict"
	"trefoillanding/io/tlmetric"
)

// Entry is the HTTP handler for callers and operators.
type Entry struct {
	deps     Deps
	refusals *tlmetric.Group
	inFlight atomic.Int64
	mux      *http.ServeMux
}

// New returns an entry with the dependencies.
func New(d Deps) *Entry {
	e := &Entry{
		deps:     d,
		refusals: d.Metrics.Group("Refusals", reasonNames()...),
		mux:      http.NewServeMux(),
	}
	for _, r := range e.routes() {
		e.mux.HandleFunc(r.pattern, e.guard(r))
	}
	return e
}

func reasonNames() []string {
	var names []string
	for _, r := range tlverdict.Reasons() {
		names = append(names, string(r))
	}
	return names
}

// ServeHTTP answers one call.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mux.ServeHTTP(w, r)
}

// InFlight returns the number of requests in flight that count against Limits.Concurrent.
func (e *Entry) InFlight() int {
	return int(e.inFlight.Load())
}
