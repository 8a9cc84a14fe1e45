package tlentry

import (
	"net/http"
	"sync/atomic"

	"trefoillanding/core/tlverdict"
	"trefoillanding/io/tlmetric"
)

// Entry answers the calls of callers and operators.
type Entry struct {
	deps     Deps
	refusals *tlmetric.Group
	open     atomic.Int64
	mux      *http.ServeMux
}

// New returns an entry that serves its calls through ServeHTTP.
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

// InFlight counts the calls that are being answered.
func (e *Entry) InFlight() int {
	return int(e.open.Load())
}
