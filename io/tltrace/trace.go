package tltrace

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// maxSteps is the maximum number of steps kept of one request.
const maxSteps = 64

// Recorder creates traces and writes them to a log.
type Recorder struct {
	log         *logrus.Entry
	sampleEvery uint64
	now         func() time.Time
	ended       atomic.Uint64
	count       func(reason string)
}

// The names of a recorder's counters.
const (
	TracesWritten = "TracesWritten"
	TracesLeftOut = "TracesLeftOut"
	StepsLeftOut  = "StepsLeftOut"
)

// CounterNames lists the names of a recorder's counters.
var CounterNames = []string{TracesWritten, TracesLeftOut, StepsLeftOut}

// NewRecorder returns a recorder that writes the traces to be kept (see Trace.End),
// and of all others every one whose request is the sampleEvery-th to end. It passes
// the names of the counters to raise to count.
func NewRecorder(l *logrus.Entry, sampleEvery uint64, now func() time.Time, count func(reason string)) *Recorder {
	return &Recorder{log: l, sampleEvery: max(sampleEvery, 1), now: now, count: count}
}

// step is one decision.
type step struct {
	at     time.Duration
	event  string
	fields logrus.Fields
}

// Trace holds the steps of one request; it is safe for concurrent use.
type Trace struct {
	r     *Recorder
	id    string
	began time.Time

	mu    sync.Mutex
	steps []step
}

// Begin starts the trace of a request.
func (r *Recorder) Begin(id string) *Trace {
	return &Trace{r: r, id: id, began: r.now()}
}

// Step records a decision with its inputs and its outcome. Steps beyond maxSteps are
// only counted.
func (t *Trace) Step(event string, fields logrus.Fields) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.steps) >= maxSteps {
		t.r.count(StepsLeftOut)
		return
	}
	t.steps = append(t.steps, step{t.r.now().Sub(t.began), event, fields})
}

// End writes the steps if keep is set or the request falls into the sample.
func (t *Trace) End(keep bool) {
	n := t.r.ended.Add(1)
	if !keep && n%t.r.sampleEvery != 0 {
		t.r.count(TracesLeftOut)
		return
	}
	t.r.count(TracesWritten)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.steps {
		t.r.log.WithFields(s.fields).WithFields(logrus.Fields{
			"Request": t.id,
			"AtMs":    s.at.Milliseconds(),
		}).Info(s.event)
	}
	t.steps = nil
}
