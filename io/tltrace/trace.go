package tltrace

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// maxSteps bounds the steps that are kept of one request.
const maxSteps = 64

// Recorder makes traces and writes them.
type Recorder struct {
	log   *logrus.Entry
	every uint64
	now   func() time.Time
	ended atomic.Uint64
	count func(reason string)
}

// The counters of a recorder.
const (
	Written      = "TracesWritten"
	LeftOut      = "TracesLeftOut"
	StepsLeftOut = "StepsLeftOut"
)

// CounterNames lists the counters of a recorder.
var CounterNames = []string{Written, LeftOut, StepsLeftOut}

// NewRecorder returns a recorder that writes one of every so many requests that went well.
func NewRecorder(l *logrus.Entry, every uint64, now func() time.Time, count func(reason string)) *Recorder {
	return &Recorder{log: l, every: max(every, 1), now: now, count: count}
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

// Begin returns the trace of a request.
func (r *Recorder) Begin(id string) *Trace {
	return &Trace{r: r, id: id, began: r.now()}
}

// Step keeps a decision with its inputs and its outcome.
func (t *Trace) Step(event string, fields logrus.Fields) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.steps) >= maxSteps {
		t.r.count(StepsLeftOut)
		return
	}
	t.steps = append(t.steps, step{t.r.now().Sub(t.began), event, fields})
}

// End writes the steps if they have to be kept or fall into the sample.
func (t *Trace) End(keep bool) {
	n := t.r.ended.Add(1)
	if !keep && n%t.r.every != 0 {
		t.r.count(LeftOut)
		return
	}
	t.r.count(Written)
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
