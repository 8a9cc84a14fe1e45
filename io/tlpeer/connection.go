package tlpeer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"trefoillanding/core/tlcodec"
	"trefoillanding/core/tlwire"
)

// The bounds of one connection.
const (
	maxFrameBytes  = 16 << 20
	maxHelloBytes  = 4 << 10
	outboxLength   = 1024
	inboxLength    = 256
	concurrentCall = 256
)

// connection is an open connection to a peer.
type connection struct {
	mesh   *Mesh
	peer   Peer
	socket *websocket.Conn
	ctx    context.Context
	cancel context.CancelFunc

	outbox chan []byte
	inbox  chan tlwire.Envelope
	calls  chan struct{}
	done   chan struct{}
	heard  atomic.Int64
	used   atomic.Int64

	mu      sync.Mutex
	next    uint64
	pending map[uint64]chan tlwire.Envelope
}

func newConnection(m *Mesh, p Peer, s *websocket.Conn) *connection {
	ctx, cancel := context.WithCancel(m.ctx)
	c := &connection{
		mesh:    m,
		peer:    p,
		socket:  s,
		ctx:     ctx,
		cancel:  cancel,
		outbox:  make(chan []byte, outboxLength),
		inbox:   make(chan tlwire.Envelope, inboxLength),
		calls:   make(chan struct{}, concurrentCall),
		done:    make(chan struct{}),
		pending: map[uint64]chan tlwire.Envelope{},
	}
	c.touch(&c.heard)
	c.touch(&c.used)
	s.SetReadLimit(maxFrameBytes)
	return c
}

func (c *connection) touch(t *atomic.Int64) {
	t.Store(c.mesh.o.Now().UnixNano())
}

func (c *connection) since(t *atomic.Int64) time.Duration {
	return time.Duration(c.mesh.o.Now().UnixNano() - t.Load())
}

// run serves the connection until it ends.
func (c *connection) run() {
	defer close(c.done)
	var w sync.WaitGroup
	w.Go(c.writeLoop)
	w.Go(c.inboxLoop)
	w.Go(c.keepLoop)
	c.readLoop()
	c.close()
	w.Wait()
}

// close ends the connection at once.
func (c *connection) close() {
	c.cancel()
	_ = c.socket.CloseNow()
}

func (c *connection) isOpen() bool {
	return c.ctx.Err() == nil
}

// call sends a question and waits for its answer.
func (c *connection) call(ctx context.Context, e tlwire.Envelope) (tlwire.Envelope, error) {
	answer := make(chan tlwire.Envelope, 1)
	e.Call = c.expect(answer)
	defer c.forget(e.Call)
	if err := c.send(e); err != nil {
		return tlwire.Envelope{}, err
	}
	select {
	case a := <-answer:
		return a, nil
	case <-c.ctx.Done():
		return tlwire.Envelope{}, c.fail(e.Kind, Lost, "the connection ended")
	case <-ctx.Done():
		return tlwire.Envelope{}, c.fail(e.Kind, Lost, ctx.Err().Error())
	}
}

func (c *connection) expect(answer chan tlwire.Envelope) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	c.pending[c.next] = answer
	return c.next
}

func (c *connection) forget(call uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, call)
}

// send queues a frame without waiting.
func (c *connection) send(e tlwire.Envelope) error {
	data, err := tlcodec.Encode(e)
	if err != nil {
		return c.fail(e.Kind, BadMessage, err.Error())
	}
	if len(data) > maxFrameBytes {
		return c.fail(e.Kind, BadMessage, "the message is too long")
	}
	if !c.isOpen() {
		return c.fail(e.Kind, Unreachable, "the connection has ended")
	}
	c.touch(&c.used)
	select {
	case c.outbox <- data:
		return nil
	default:
		c.mesh.count(countQueueFull)
		return c.fail(e.Kind, QueueFull, "too many messages wait")
	}
}

func (c *connection) fail(kind string, f Failure, message string) error {
	return &Error{Peer: c.peer.Name, Kind: kind, Failure: f, Message: message}
}
