package tlpeer

import (
	"net/netip"
	"sync"
	"time"
)

// The limits of the backoff between two dials of a peer.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// link holds the address, the current connection and the dial state of one peer.
type link struct {
	name string

	mu           sync.Mutex
	address      netip.AddrPort
	current      *connection
	dialling     chan struct{}
	failures     int
	noDialBefore time.Time
}

// adopt makes c the current connection unless one is open to the same or a newer
// incarnation of the peer. It returns the connection to the older of two
// incarnations, which the caller must close, or nil.
func (l *link) adopt(c *connection) *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.current
	l.failures, l.noDialBefore = 0, time.Time{}
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

func (l *link) clearCurrent(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == c {
		l.current = nil
	}
}

func (l *link) setAddress(a netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address != a {
		l.address, l.failures, l.noDialBefore = a, 0, time.Time{}
	}
}

// recordDialFailure starts the backoff and doubles the next one; jitter, from 0
// to 1, scales it to between half and all of its length.
func (l *link) recordDialFailure(now time.Time, jitter float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay := min(minBackoff<<min(l.failures, 10), maxBackoff)
	l.failures++
	l.noDialBefore = now.Add(time.Duration(float64(delay) * (0.5 + jitter/2)))
}
