package tlsend

import (
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// connection counts the bytes written to it: a request of which no byte was written can't have run.
type connection struct {
	net.Conn
	written atomic.Int64
	onRead  func()
	// dialed is when the connection was opened.
	dialed time.Time
}

// Read reads from the connection.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.onRead()
	}
	return n, err
}

// Write writes to the connection and counts the bytes written.
func (c *connection) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// progress records how far a send has got.
type progress struct {
	conn          atomic.Pointer[connection]
	writtenBefore atomic.Int64
	wroteHeaders  atomic.Bool
}

func (p *progress) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			c, ok := i.Conn.(*connection)
			if !ok {
				return
			}
			p.writtenBefore.Store(c.written.Load())
			p.conn.Store(c)
		},
		WroteHeaders: func() { p.wroteHeaders.Store(true) },
	}
}

// dialedAt returns when the connection was opened; zero if there is none.
func (p *progress) dialedAt() time.Time {
	if c := p.conn.Load(); c != nil {
		return c.dialed
	}
	return time.Time{}
}

// isConnected reports whether a connection was available for the send.
func (p *progress) isConnected() bool {
	return p.conn.Load() != nil
}

// mayHaveRun reports whether the endpoint may have received the whole header.
func (p *progress) mayHaveRun() bool {
	c := p.conn.Load()
	return c != nil && p.wroteHeaders.Load() && c.written.Load() > p.writtenBefore.Load()
}
