package tlentry

import (
	"net/http"
	"path"

	"trefoillanding/core/tlverdict"
)

// router lets the HTTP library serve an entry, whose routing table needs patterns that the
// library's router lacks.
type router struct {
	entry *Entry
}

// ServeHTTP refuses paths that http.ServeMux would redirect and passes on all others.
func (r router) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	p := q.URL.Path
	clean := path.Clean("/" + p)
	if p != clean && p != clean+"/" {
		r.entry.refuse(&trackedWriter{ResponseWriter: w}, tlverdict.New(tlverdict.UnknownPath, "the path %q is not normalised", p))
		return
	}
	r.entry.ServeHTTP(w, q)
}

// Handle does nothing, since the entry has its own routing table.
func (r router) Handle(string, string, http.Handler) error {
	return nil
}

// SetNotFoundHandler does nothing, since the entry answers unknown paths itself.
func (r router) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler does nothing, since the entry answers unknown methods itself.
func (r router) SetNotAllowedHandler(http.Handler) {}
