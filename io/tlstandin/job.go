package tlstandin

import (
	"sync/atomic"
	"time"

	"trefoillanding/core/tlwire"
)

// The causes for which a job has left its engine.
const (
	goneKilled    = "Killed"
	goneCancelled = "Cancelled"
	goneLapsed    = "Lapsed"
	goneNoMemory  = "OutOfMemory"
	goneFailed    = "Failed"
)

// job is what an engine holds for one half of one attempt; its fields are
// guarded by the engine's mutex, but for the channels.
type job struct {
	attempt     string
	request     string
	owner       string
	incarnation uint64
	stage       tlwire.Stage
	priority    int
	pieces      int
	prompt      string
	tokens      int
	born        time.Time
	ended       chan struct{}
	gone        chan struct{}
	cause       string

	handle string
	cached int
	bytes  int64
	pins   int
	lapsed bool
	lapse  *time.Timer

	moved int64

	stream  string
	seed    uint64
	first   int
	next    int
	stop    int
	finish  string
	stallAt int
	failAt  int
	watch   *watcher
	// readers counts the connections that read the job or wait for it.
	readers int

	// ready is a copy of next for readers without the mutex, or ended.
	ready atomic.Int64
}

// ended is the value of ready once a stream decodes no more.
const ended = -1

// watcher is one connection that reads a job's progress.
type watcher struct {
	wake chan struct{}
	cut  chan struct{}
}

func newWatcher() *watcher {
	return &watcher{wake: make(chan struct{}, 1), cut: make(chan struct{})}
}

func (w *watcher) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// notify wakes the job's reader, if it has one.
func (j *job) notify() {
	if j.watch != nil {
		j.watch.notify()
	}
}

// isUnread says whether the job is at work and nobody is connected to it; a
// held result lapses by itself.
func (j *job) isUnread() bool {
	return j.readers == 0 && j.stage != tlwire.StageHeld && j.stage != tlwire.StageFinished
}

// leave marks the job as gone for a cause; the second call does nothing.
func (j *job) leave(cause string) {
	if j.cause != "" {
		return
	}
	j.cause = cause
	j.ready.Store(ended)
	j.prompt = ""
	if j.lapse != nil {
		j.lapse.Stop()
	}
	close(j.gone)
	j.notify()
}

// replace makes w the only reader and cuts the earlier one off.
func (j *job) replace(w *watcher) {
	if j.watch != nil {
		close(j.watch.cut)
	}
	j.watch = w
}
