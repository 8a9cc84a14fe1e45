package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlmemory"
)

// The counters of connections.
const (
	connectionAccepted = "Accepted"
	connectionRefused  = "Refused"
	connectionClosed   = "ClosedForRoom"
	answerStalled      = "AnswerStalled"
)

var connectionCounterNames = []string{connectionAccepted, connectionRefused, connectionClosed, answerStalled}

// writeProgress is the time between checks whether the other side reads on. TCP repeats a
// lost packet after 200 ms at the earliest.
const writeProgress = 250 * time.Millisecond

// connectionLogInterval is the least time between two log lines on one kind of address and reason.
const connectionLogInterval = 10 * time.Second

// pool holds the connections accepted on one kind of address. Its lock is held over no other.
type pool struct {
	name        string
	socketBytes int
	stall       time.Duration
	count       func(reason string)
	log         *logrus.Entry

	mu       sync.Mutex
	rules    *tlmemory.Connections
	open     map[uint64]*countedConn
	loggedAt map[string]time.Time
}

// listener returns a listener whose connections belong to the pool.
func (p *pool) listener(l *net.TCPListener) countedListener {
	return countedListener{l, p}
}

// admit returns a connection as one of the pool, and closes another one for it if need
// be; nil if there is no room.
func (p *pool) admit(c *net.TCPConn) *countedConn {
	a, _ := netip.ParseAddrPort(c.RemoteAddr().String())
	k := &countedConn{TCPConn: c, pool: p}
	p.mu.Lock()
	d := p.rules.Accept(time.Now(), a.Addr().Unmap())
	victim := p.open[d.Victim]
	delete(p.open, d.Victim)
	if k.id = d.ID; d.ID != 0 {
		p.open[d.ID] = k
	}
	p.mu.Unlock()
	if victim != nil {
		p.note(connectionClosed, victim.RemoteAddr())
		_ = victim.Close()
	}
	if d.ID == 0 {
		p.note(connectionRefused, c.RemoteAddr())
		_ = c.Close()
		return nil
	}
	p.count(connectionAccepted)
	// A buffer of the system's size is as good if these fail.
	_ = c.SetReadBuffer(p.socketBytes)
	_ = c.SetWriteBuffer(p.socketBytes)
	return k
}

// note counts a refusal or a close, and logs it unless one of its reason was logged lately.
func (p *pool) note(reason string, a net.Addr) {
	p.count(reason)
	now := time.Now()
	p.mu.Lock()
	isDue := now.Sub(p.loggedAt[reason]) >= connectionLogInterval
	if isDue {
		p.loggedAt[reason] = now
	}
	receiving, idle, busy, unread := p.rules.Counts()
	p.mu.Unlock()
	if isDue {
		p.log.WithFields(logrus.Fields{"Of": p.name, "Reason": reason, "Address": a.String(), "Receiving": receiving, "Idle": idle, "Busy": busy, "Unread": unread}).
			Warn("connection closed")
	}
}

func (p *pool) setState(id uint64, s tlmemory.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules.SetState(time.Now(), id, s)
}

// keep has a connection no longer closed for others; it reports whether the connection is
// still one of the pool.
func (p *pool) keep(id uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules.SetState(time.Now(), id, tlmemory.Busy)
	return p.open[id] != nil
}

func (p *pool) remove(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules.Close(id)
	delete(p.open, id)
}

// ConnectionStatus is the number of connections in each state.
type ConnectionStatus struct {
	Receiving, Idle, Busy, Unread int
}

func (p *pool) status() ConnectionStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	var s ConnectionStatus
	s.Receiving, s.Idle, s.Busy, s.Unread = p.rules.Counts()
	return s
}

// isAnswering reports whether a request has come on a connection whose answer isn't written whole.
func (p *pool) isAnswering() bool {
	s := p.status()
	return s.Busy+s.Unread > 0
}

// countedListener accepts connections as far as its pool has room.
type countedListener struct {
	*net.TCPListener
	pool *pool
}

// Accept returns the next connection.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.accept()
	if err != nil {
		return nil, err
	}
	return c, nil
}

func (l countedListener) accept() (*countedConn, error) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if k := l.pool.admit(c); k != nil {
			return k, nil
		}
	}
}

// countedConn is a connection of a pool. It embeds the TCP connection itself, since the
// server closes only the writing side of one that it ends with bytes unread.
type countedConn struct {
	*net.TCPConn
	pool *pool
	id   uint64
	// hasDeadline says that somebody else sets the deadline of writes.
	hasDeadline atomic.Bool
	// isUnread says that the other side has stopped reading an answer.
	isUnread atomic.Bool
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.pool.remove(c.id)
	return c.TCPConn.Close()
}

// SetWriteDeadline sets a deadline in place of the pool's.
func (c *countedConn) SetWriteDeadline(t time.Time) error {
	c.hasDeadline.Store(!t.IsZero())
	return c.TCPConn.SetWriteDeadline(t)
}

// Write writes all bytes, unless the other side reads nothing for too long.
func (c *countedConn) Write(b []byte) (int, error) {
	if c.hasDeadline.Load() {
		return c.TCPConn.Write(b)
	}
	written := 0
	progressed := time.Now()
	for {
		if err := c.TCPConn.SetWriteDeadline(time.Now().Add(min(writeProgress, c.pool.stall))); err != nil {
			return written, err
		}
		n, err := c.TCPConn.Write(b[written:])
		written += n
		if n > 0 {
			progressed = time.Now()
			c.setUnread(false)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if time.Since(progressed) >= c.pool.stall {
			c.pool.note(answerStalled, c.RemoteAddr())
			return written, err
		}
		c.setUnread(n == 0)
	}
}

// setUnread notes whether the other side has stopped reading an answer.
func (c *countedConn) setUnread(isUnread bool) {
	switch {
	case c.isUnread.Swap(isUnread) == isUnread:
	case isUnread:
		c.setState(tlmemory.Unread)
	default:
		c.setState(tlmemory.Busy)
	}
}

// ReadFrom is not provided by the TCP connection's, which would go around Write.
func (c *countedConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(writerOnly{c}, r)
}

// writerOnly hides all methods but Write.
type writerOnly struct {
	io.Writer
}

func (c *countedConn) setState(s tlmemory.State) {
	c.pool.setState(c.id, s)
}

func (c *countedConn) keep() bool {
	return c.pool.keep(c.id)
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn is the ConnContext hook of a server.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(r *http.Request) net.Conn {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	return c
}

// stateOf has what a server's states are to a pool. An active connection has begun to
// send; a hijacked one belongs to another instance that has proved who it is.
var stateOf = map[http.ConnState]tlmemory.State{
	http.StateNew:      tlmemory.Receiving,
	http.StateActive:   tlmemory.Receiving,
	http.StateIdle:     tlmemory.Idle,
	http.StateHijacked: tlmemory.Busy,
}

// noteState is the ConnState hook of a server.
func noteState(c net.Conn, s http.ConnState) {
	if k, ok := c.(interface{ becameIdle() }); ok && s == http.StateIdle {
		k.becameIdle()
	}
	k, isCounted := c.(interface{ setState(tlmemory.State) })
	if state, ok := stateOf[s]; ok && isCounted {
		k.setState(state)
	}
}

// noteReceived notes that a request has arrived whole: its connection is no longer closed
// for others. It reports whether it hasn't been chosen for that already.
func noteReceived(r *http.Request) bool {
	k, ok := connOf(r).(interface{ keep() bool })
	return !ok || k.keep()
}
