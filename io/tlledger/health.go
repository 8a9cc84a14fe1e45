package tlledger

import (
	"sync"
	"time"
)

const (
	// outAfter is how many appends in a row have to fail before the log counts as out.
	outAfter = 3
	// probeEvery is the time between two tries while it is out.
	probeEvery = 500 * time.Millisecond
	// slowAfter is how long a successful append may take before it counts as slow.
	slowAfter = time.Second
)

// health tells an outage of the log from slowness: an outage is a row of failed
// appends, while a slow append succeeds.
type health struct {
	mu       sync.Mutex
	failures int
	probed   time.Time
}

// note takes in how an append went and says whether an outage has just begun.
func (h *health) note(isAppended bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if isAppended {
		h.failures = 0
		return false
	}
	h.failures++
	return h.failures == outAfter
}

// mayTry says whether an append is worth a try; while the log is out, only a
// probe now and then is.
func (h *health) mayTry(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failures < outAfter {
		return true
	}
	if now.Sub(h.probed) < probeEvery {
		return false
	}
	h.probed = now
	return true
}
