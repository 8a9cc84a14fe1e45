package tlsend

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

var errRefused = errors.New("nothing more may be written on the connection")

// connection counts the bytes written to it: a request of which no byte was written can't have run.
type connection struct {
	net.Conn
	written   atomic.Int64
	isRefused atomic.Bool
	onRead    func()
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
	if c.isRefused.Load() {
		return 0, errRefused
	}
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// refuse ends the connection for all later requests, of which none is written on it.
func (c *connection) refuse() {
	c.isRefused.Store(true)
	_ = c.Close()
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
			if c, ok := i.Conn.(*connection); ok {
				p.gotConnection(c)
			}
		},
		WroteHeaders: func() { p.wroteHeaders.Store(true) },
	}
}

func (p *progress) gotConnection(c *connection) {
	p.writtenBefore.Store(c.written.Load())
	p.conn.Store(c)
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

// hasWritten reports whether any byte of the request was written.
func (p *progress) hasWritten() bool {
	c := p.conn.Load()
	return c != nil && c.written.Load() > p.writtenBefore.Load()
}

// mayHaveRun reports whether the endpoint may have received the whole header.
func (p *progress) mayHaveRun() bool {
	return p.wroteHeaders.Load() && p.hasWritten()
}

// endConnection ends the connection: what follows on it belongs to nobody.
func (p *progress) endConnection() {
	if c := p.conn.Load(); c != nil {
		c.refuse()
	}
}
