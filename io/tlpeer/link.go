package tlpeer

import (
	"net/netip"
	"sync"
	"time"
)

// The bounds of the delay between two tries to connect to a peer.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// link is what is known of the way to one peer.
type link struct {
	name string

	mu       sync.Mutex
	address  netip.AddrPort
	current  *connection
	dialling chan struct{}
	failures int
	notTill  time.Time
}

// use makes c the current connection unless a better one is open; it returns
// the connection that is to be closed, if any.
func (l *link) use(c *connection) *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.current
	l.failures, l.notTill = 0, time.Time{}
	if old == nil || !old.isOpen() {
		l.current = c
		return nil
	}
	if old.peer.Incarnation < c.peer.Incarnation {
		l.current = c
		return old
	}
	if old.peer.Incarnation > c.peer.Incarnation {
		return c
	}
	return nil
}

func (l *link) drop(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == c {
		l.current = nil
	}
}

func (l *link) move(a netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address != a {
		l.address, l.failures, l.notTill = a, 0, time.Time{}
	}
}

// failed notes a failed dial; jitter is between 0 and 1.
func (l *link) failed(now time.Time, jitter float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay := min(minBackoff<<min(l.failures, 10), maxBackoff)
	l.failures++
	l.notTill = now.Add(time.Duration(float64(delay) * (0.5 + jitter/2)))
}
