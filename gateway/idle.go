package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// idleListener gives callers' idle connections the idle limit in force: http.Server,
// which is left without one, would read it only at its start, and callers go by that
// of the last configuration.
type idleListener struct {
	*net.TCPListener
	// limit returns the idle limit in force; 0 if there is none.
	limit func() time.Duration
}

// Accept returns the next connection.
func (l idleListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &idleConn{TCPConn: c, limit: l.limit}, nil
}

// idleConn is a connection of a caller. It embeds the TCP connection itself, since the
// server closes only the writing side of one that it ends with bytes unread.
type idleConn struct {
	*net.TCPConn
	limit func() time.Duration
	// hasGoneIdle says that the next read deadline is that of an idle connection.
	hasGoneIdle atomic.Bool
}

// noteState is the ConnState hook of a server: it sets a connection's idle deadline
// right after its state.
func noteState(c net.Conn, s http.ConnState) {
	if k, ok := c.(*idleConn); ok && s == http.StateIdle {
		k.hasGoneIdle.Store(true)
	}
}

// SetReadDeadline sets the read deadline, that of an idle connection by the limit in force.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	if c.hasGoneIdle.Swap(false) {
		if d := c.limit(); d > 0 {
			t = time.Now().Add(d)
		}
	}
	return c.TCPConn.SetReadDeadline(t)
}
