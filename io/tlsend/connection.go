package tlsend

import (
	"context"
	"errors"
	"hash/maphash"
	"net"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"trefoillanding/io/tlanswer"
)

// maxCarried bounds the requests that a connection carries before it is replaced, and
// thereby the memory for their IDs.
const maxCarried = 1024

var (
	errRefused  = errors.New("nothing more may be written on the connection")
	errRepeated = errors.New("the library would have sent the request a second time")
)

// idSeed is the seed of the hashes of IDs.
var idSeed = maphash.MakeSeed()

// connection counts the bytes written to it: a request of which no byte was written can't
// have run. It knows which requests it has carried: an answer written once more can't be
// told from that to a second send of the same request.
type connection struct {
	net.Conn
	written   atomic.Int64
	isRefused atomic.Bool
	onRead    func()
	// dialed is when the connection was opened.
	dialed time.Time

	mu sync.Mutex
	// carried holds hashes of the IDs of the requests carried so far.
	carried []uint64
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

// carry notes that the connection carries a request; it reports whether it may.
func (c *connection) carry(id string) bool {
	h := maphash.String(idSeed, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.carried) == maxCarried || slices.Contains(c.carried, h) {
		return false
	}
	c.carried = append(c.carried, h)
	return true
}

// progress records how far a send has got. It sees to it that a request is written on one
// connection, and on none that has carried it before.
type progress struct {
	// id is the ID of the request; empty for a call that is alone on its connection.
	id            string
	cancel        context.CancelCauseFunc
	conn          atomic.Pointer[connection]
	writtenBefore atomic.Int64
	wroteHeaders  atomic.Bool
	// hasCarried says that the connection has carried the request before, so that nothing was written.
	hasCarried atomic.Bool
}

func (p *progress) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if c, ok := tlanswer.Dialled(i.Conn).(*connection); ok {
				p.gotConnection(c)
			}
		},
		WroteHeaders: func() { p.wroteHeaders.Store(true) },
	}
}

func (p *progress) gotConnection(c *connection) {
	switch {
	case p.hasWritten():
		// The Transport repeats by itself a request that it holds for idempotent.
		c.isRefused.Store(true)
		p.cancel(errRepeated)
	case p.id != "" && !c.carry(p.id):
		c.isRefused.Store(true)
		p.hasCarried.Store(true)
		p.cancel(errRefused)
	default:
		p.writtenBefore.Store(c.written.Load())
		p.conn.Store(c)
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
