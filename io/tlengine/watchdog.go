package tlengine

import (
	"context"
	"sync"
	"time"
)

// looksPerStall is how often each stream is looked at within the time that it
// may wait for a token.
const looksPerStall = 8

// watchdog ends streams whose reader has waited for a token for too long.
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
	t := time.NewTicker(w.limit / looksPerStall)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			w.look()
		case <-c.Done():
			return
		}
	}
}

func (w *watchdog) look() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for s := range w.streams {
		if s.waitsTooLong() {
			s.stop(s.client.stalled(CountStreamStalled, w.limit))
		}
	}
}

// waitsTooLong is called once a look.
func (s *Stream) waitsTooLong() bool {
	n := s.turns.Load()
	if n != s.seen || n%2 == 0 {
		s.seen, s.idle = n, 0
		return false
	}
	s.idle++
	return s.idle == looksPerStall
}
