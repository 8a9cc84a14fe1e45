package tlengine

import (
	"context"
	"sync"
	"time"
)

// checksPerStallTimeout is how often each stream is checked within the time that it
// may wait for a token.
const checksPerStallTimeout = 8

// watchdog stops streams whose reader has waited longer than limit for a token.
type watchdog struct {
	limit time.Duration

	mutex   sync.Mutex
	streams map[*Stream]struct{}
}

func newWatchdog(limit time.Duration) *watchdog {
	return &watchdog{limit: limit, streams: map[*Stream]struct{}{}}
}

func (w *watchdog) add(s *Stream) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.streams[s] = struct{}{}
}

func (w *watchdog) remove(s *Stream) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.streams, s)
}

func (w *watchdog) run(c context.Context) {
	if w.limit <= 0 {
		return
	}
	t := time.NewTicker(w.limit / checksPerStallTimeout)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			w.check()
		case <-c.Done():
			return
		}
	}
}

func (w *watchdog) check() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for s := range w.streams {
		if s.isStalled() {
			s.stop(s.client.newStallError(CountStreamStalled, w.limit))
		}
	}
}

// isStalled reports whether the reader has waited in one read for a whole stall timeout.
// It must be called exactly once per check.
func (s *Stream) isStalled() bool {
	n := s.readPhase.Load()
	if n != s.seenPhase || n%2 == 0 {
		s.seenPhase, s.idleChecks = n, 0
		return false
	}
	s.idleChecks++
	return s.idleChecks == checksPerStallTimeout
}
