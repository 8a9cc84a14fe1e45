package tlentry

import (
	"net/http"
	"time"

	"trefoillanding/core/tlverdict"
)

// busyRetryAfter is the Retry-After of a request refused with TooManyRequests.
const busyRetryAfter = time.Second

// guard wraps a route's handler: it enforces the limits and turns errors and panics into
// refusals.
func (e *Entry) guard(t route) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a := &trackedWriter{ResponseWriter: w}
		defer e.recoverPanic(a)
		if err := e.check(t, r); err != nil {
			e.refuse(a, err)
			return
		}
		if t.isLimited {
			defer e.inFlight.Add(-1)
			if e.inFlight.Add(1) > int64(e.deps.Settings.Limits.Concurrent) {
				e.refuse(a, tlverdict.New(tlverdict.TooManyRequests, "the instance has reached its limit of concurrent requests").WithRetryAfter(busyRetryAfter))
				return
			}
		}
		if err := t.serve(a, r); err != nil {
			e.refuse(a, err)
		}
	}
}

func (e *Entry) check(t route, r *http.Request) error {
	if n := headerBytes(r); n > e.deps.Settings.Limits.HeaderBytes {
		return tlverdict.New(tlverdict.HeaderTooLarge, "the header has %d bytes, the limit is %d", n, e.deps.Settings.Limits.HeaderBytes)
	}
	if t.method != "" && t.method != r.Method && (t.method != http.MethodGet || r.Method != http.MethodHead) {
		return tlverdict.New(tlverdict.UnknownMethod, "%s is not allowed at %s", r.Method, r.URL.Path)
	}
	return nil
}

func headerBytes(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

func (e *Entry) recoverPanic(a *trackedWriter) {
	p := recover()
	if p == nil {
		return
	}
	if p == http.ErrAbortHandler {
		panic(p)
	}
	e.refuse(a, tlverdict.New(tlverdict.Internal, "internal error while serving the request"))
}
