package tlledger

import (
	"sync"
	"time"
)

const (
	// outageFailures is the number of consecutive failed appends that count as an outage.
	outageFailures = 3
	// probeInterval is the time between two probes during an outage.
	probeInterval = 500 * time.Millisecond
	// slowAppendThreshold is the duration from which a successful append counts as slow.
	slowAppendThreshold = time.Second
)

// circuitBreaker stops appends during an outage of the log. Consecutive failures are an
// outage; slow appends are not, since they succeed.
type circuitBreaker struct {
	mu        sync.Mutex
	failures  int
	lastProbe time.Time
}

// record takes the result of an append and reports whether an outage has just begun.
func (b *circuitBreaker) record(isAppended bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if isAppended {
		b.failures = 0
		return false
	}
	b.failures++
	return b.failures == outageFailures
}

// allow reports whether an append may be tried; during an outage it allows one probe
// per probeInterval.
func (b *circuitBreaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < outageFailures {
		return true
	}
	if now.Sub(b.lastProbe) < probeInterval {
		return false
	}
	b.lastProbe = now
	return true
}
