package tlstandin

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"trefoillanding/core/tlwire"
)

// Faults holds what a stand-in does wrong at present.
type Faults struct {
	mutex  sync.Mutex
	set    tlwire.Faults
	random *rand.Rand
}

// NewFaults returns faults that are all off.
func NewFaults() *Faults {
	return &Faults{random: newRandom(1)}
}

// Set replaces the faults that are switched on.
func (f *Faults) Set(s tlwire.Faults) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.set = s
	if s.Seed != 0 {
		f.random = newRandom(s.Seed)
	}
}

// Get returns the faults that are switched on.
func (f *Faults) Get() tlwire.Faults {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.set
}

func (f *Faults) draw(share float64) bool {
	if share <= 0 {
		return false
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.Float64() < share
}

func (f *Faults) lag() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.set.LagSpread <= 0 {
		return f.set.Lag
	}
	return f.set.Lag + time.Duration(f.random.Int64N(int64(f.set.LagSpread)))
}

// Wrap returns a handler that does the faults of a connection around h.
func (f *Faults) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !pause(r, f.lag()) {
			return
		}
		s := f.Get()
		switch {
		case s.HalfOpen:
			readAll(r)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case s.Outage, f.draw(s.RefuseShare):
			refuse(w, http.StatusServiceUnavailable, reasonOutage, "switched on by a test")
		case f.draw(s.DropShare):
			readAll(r)
			panic(http.ErrAbortHandler)
		case f.draw(s.LoseShare):
			h.ServeHTTP(lostWriter{w}, r)
			panic(http.ErrAbortHandler)
		case f.draw(s.LateShare):
			h.ServeHTTP(&lateWriter{ResponseWriter: w, request: r, by: s.LateBy}, r)
		default:
			h.ServeHTTP(w, r)
		}
	})
}

// attempt returns the attempt that an answer is given under.
func (f *Faults) attempt(a string) string {
	if f.draw(f.Get().CrossAnswers) {
		return crossedAttempt
	}
	return a
}

// lateWriter holds an answer back for a while.
type lateWriter struct {
	http.ResponseWriter
	request *http.Request
	by      time.Duration
}

// Write writes once the answer is late enough.
func (w *lateWriter) Write(b []byte) (int, error) {
	w.wait()
	return w.ResponseWriter.Write(b)
}

// WriteHeader writes the status once the answer is late enough.
func (w *lateWriter) WriteHeader(status int) {
	w.wait()
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer below, so that it can be flushed.
func (w *lateWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

func (w *lateWriter) wait() {
	pause(w.request, w.by)
	w.by = 0
}

// lostWriter drops the connection as soon as a handler answers.
type lostWriter struct {
	http.ResponseWriter
}

// Write drops the connection.
func (lostWriter) Write([]byte) (int, error) {
	panic(http.ErrAbortHandler)
}

// WriteHeader drops the connection.
func (lostWriter) WriteHeader(int) {
	panic(http.ErrAbortHandler)
}

func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed))
}

func readAll(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
}

func pause(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
