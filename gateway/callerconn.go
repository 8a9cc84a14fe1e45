package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// headerSlop is the number of bytes that may be read beyond a header's limit, since
	// the server reads ahead; http.Server allows as much beyond its own.
	headerSlop = 4 << 10
	// tooLargeLinger bounds the time in which what follows a refused header is still read:
	// closing a connection with bytes unread would reset it ahead of the answer.
	tooLargeLinger = 500 * time.Millisecond
	// tooLargeAnswer is what http.Server answers to a header beyond its own limit.
	tooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\n" +
		"Connection: close\r\n\r\n431 Request Header Fields Too Large"
)

var errHeaderTooLarge = errors.New("the header is too large")

// callerLimits returns the limits in force on callers' connections; 0 means none.
type callerLimits struct {
	idle        func() time.Duration
	headerBytes func() int
}

// callerListener holds callers' connections to the limits in force: http.Server would
// read its own only at its start, and callers go by those of the last configuration.
type callerListener struct {
	countedListener
	limits callerLimits
}

// Accept returns the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{countedConn: c, limits: l.limits}, nil
}

// callerConn is a connection of a caller.
type callerConn struct {
	*countedConn
	limits callerLimits
	// hasGoneIdle says that the next read deadline is that of an idle connection.
	hasGoneIdle atomic.Bool
	// isHeaderRead says that a header has been read and its request is being served.
	isHeaderRead atomic.Bool
	// read is the number of bytes read since the last request was served.
	read atomic.Int64
}

// headerRead notes that the header of a request has been read: what follows is its body.
func headerRead(r *http.Request) {
	if c, ok := connOf(r).(*callerConn); ok {
		c.isHeaderRead.Store(true)
	}
}

// becameIdle notes that the last request was answered: the idle deadline is set right after.
func (c *callerConn) becameIdle() {
	c.read.Store(0)
	c.isHeaderRead.Store(false)
	c.hasGoneIdle.Store(true)
}

// Read reads from the connection; a header beyond the limit in force is refused, after
// which there is nothing more to read.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if c.isHeaderRead.Load() {
		return n, err
	}
	read, limit := c.read.Add(int64(n)), c.limits.headerBytes()
	if limit <= 0 || read <= int64(limit)+headerSlop {
		return n, err
	}
	c.refuseHeader()
	// The server answers nothing of its own to an error of this type.
	return 0, &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Addr: c.RemoteAddr(), Err: errHeaderTooLarge}
}

func (c *callerConn) refuseHeader() {
	if _, err := io.WriteString(c.TCPConn, tooLargeAnswer); err != nil {
		return
	}
	if c.CloseWrite() != nil || c.TCPConn.SetReadDeadline(time.Now().Add(tooLargeLinger)) != nil {
		return
	}
	// Ends when the caller has closed, or the time is over.
	_, _ = io.Copy(io.Discard, c.TCPConn)
}

// SetReadDeadline sets the read deadline, that of an idle connection by the limit in force.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if c.hasGoneIdle.Swap(false) {
		if d := c.limits.idle(); d > 0 {
			t = time.Now().Add(d)
		}
	}
	return c.TCPConn.SetReadDeadline(t)
}
