package tlentry

import (
	"net/http"
	"time"

	"trefoillanding/core/tlverdict"
)

// busyRetryAfter is when a caller refused for too many requests should come back.
const busyRetryAfter = time.Second

// guard checks the limits that every call is under and turns errors and panics into refusals.
func (e *Entry) guard(t route) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a := &answer{ResponseWriter: w}
		defer e.recoverPanic(a)
		if err := e.check(t, r); err != nil {
			e.refuse(a, err)
			return
		}
		if t.isWork {
			defer e.open.Add(-1)
			if e.open.Add(1) > int64(e.deps.Settings.Limits.Concurrent) {
				e.refuse(a, tlverdict.New(tlverdict.TooManyRequests, "the instance serves as many requests as it may").WithRetryAfter(busyRetryAfter))
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
		return tlverdict.New(tlverdict.HeaderTooLarge, "the header has %d bytes, allowed are %d", n, e.deps.Settings.Limits.HeaderBytes)
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

func (e *Entry) recoverPanic(a *answer) {
	p := recover()
	if p == nil {
		return
	}
	if p == http.ErrAbortHandler {
		panic(p)
	}
	e.refuse(a, tlverdict.New(tlverdict.Internal, "the instance failed at this request"))
}
