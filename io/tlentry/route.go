package tlentry

import (
	"net/http"

	"trefoillanding/core/tlverdict"
)

// route is one row of the routing table.
type route struct {
	pattern string
	// method is the only method allowed (GET allows HEAD too); empty allows all.
	method string
	// isLimited means that the call counts against Limits.Concurrent.
	isLimited bool
	serve     func(w http.ResponseWriter, r *http.Request) error
}

func (e *Entry) routes() []route {
	return []route{
		{pattern: "/v1/entries", method: http.MethodGet, serve: e.serveEntries},
		{pattern: "/v1/completions", method: http.MethodPost, isLimited: true, serve: e.serveCompletion},
		{pattern: "/v1/services/{service}/{path...}", isLimited: true, serve: e.servePlain},
		{pattern: "/v1/operator/", serve: e.serveOperator},
		{pattern: "/debug/vars", method: http.MethodGet, serve: e.serveVars},
		{pattern: "/healthz", method: http.MethodGet, serve: e.serveHealth},
		{pattern: "/", serve: e.serveUnknown},
	}
}

func (e *Entry) serveUnknown(_ http.ResponseWriter, r *http.Request) error {
	return tlverdict.New(tlverdict.UnknownPath, "no route for path %s", r.URL.Path)
}

func (e *Entry) serveVars(w http.ResponseWriter, r *http.Request) error {
	e.deps.Metrics.ServeHTTP(w, r)
	return nil
}

func (e *Entry) serveOperator(w http.ResponseWriter, r *http.Request) error {
	e.deps.Operator.ServeHTTP(w, r)
	return nil
}
