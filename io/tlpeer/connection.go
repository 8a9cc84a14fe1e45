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

// The limits of one connection: frame sizes in bytes, queue lengths in messages.
const (
	maxFrameBytes      = 16 << 20
	maxHelloBytes      = 4 << 10
	maxHandshakeBytes  = 64 << 10
	maxHeaderBytes     = 256 << 10
	outboxLength       = 1024
	inboxLength        = 256
	maxConcurrentCalls = 256
)

// connection is an open connection to a peer.
type connection struct {
	mesh   *Mesh
	peer   Peer
	socket *websocket.Conn
	ctx    context.Context
	cancel context.CancelFunc

	outbox       chan []byte
	inbox        chan tlwire.Envelope
	calls        chan struct{}
	done         chan struct{}
	lastReceived atomic.Int64
	lastUsed     atomic.Int64

	mu       sync.Mutex
	lastCall uint64
	pending  map[uint64]chan tlwire.Envelope
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
		calls:   make(chan struct{}, maxConcurrentCalls),
		done:    make(chan struct{}),
		pending: map[uint64]chan tlwire.Envelope{},
	}
	c.touch(&c.lastReceived)
	c.touch(&c.lastUsed)
	s.SetReadLimit(maxFrameBytes)
	return c
}

func (c *connection) touch(t *atomic.Int64) {
	t.Store(c.mesh.o.Now().UnixNano())
}

func (c *connection) since(t *atomic.Int64) time.Duration {
	return time.Duration(c.mesh.o.Now().UnixNano() - t.Load())
}

// run serves the connection until it ends, then waits for its goroutines.
func (c *connection) run() {
	defer close(c.done)
	var w sync.WaitGroup
	w.Go(c.writeLoop)
	w.Go(c.inboxLoop)
	w.Go(c.keepAliveLoop)
	c.readLoop()
	c.close()
	w.Wait()
}

// close ends the connection at once, without a closing handshake.
func (c *connection) close() {
	c.cancel()
	_ = c.socket.CloseNow()
}

func (c *connection) isOpen() bool {
	return c.ctx.Err() == nil
}

// call sends a request and waits for its answer.
func (c *connection) call(ctx context.Context, e tlwire.Envelope) (tlwire.Envelope, error) {
	answer := make(chan tlwire.Envelope, 1)
	e.Call = c.addPending(answer)
	defer c.removePending(e.Call)
	if err := c.send(e); err != nil {
		return tlwire.Envelope{}, err
	}
	select {
	case a := <-answer:
		return a, nil
	case <-c.ctx.Done():
		return tlwire.Envelope{}, c.newError(e.Kind, Lost, "the connection ended")
	case <-ctx.Done():
		return tlwire.Envelope{}, c.newError(e.Kind, Lost, ctx.Err().Error())
	}
}

func (c *connection) addPending(answer chan tlwire.Envelope) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastCall++
	c.pending[c.lastCall] = answer
	return c.lastCall
}

func (c *connection) removePending(call uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, call)
}

// send queues a frame without blocking; it fails with QueueFull when the outbox is full.
func (c *connection) send(e tlwire.Envelope) error {
	data, err := tlcodec.Encode(e)
	if err != nil {
		return c.newError(e.Kind, BadMessage, err.Error())
	}
	if len(data) > maxFrameBytes {
		return c.newError(e.Kind, BadMessage, "the message exceeds the maximum frame size")
	}
	if !c.isOpen() {
		return c.newError(e.Kind, Unreachable, "the connection has ended")
	}
	c.touch(&c.lastUsed)
	select {
	case c.outbox <- data:
		return nil
	default:
		c.mesh.count(countQueueFull)
		return c.newError(e.Kind, QueueFull, "the outbox is full")
	}
}

func (c *connection) newError(kind string, f Failure, message string) error {
	return &Error{Peer: c.peer.Name, Kind: kind, Failure: f, Message: message}
}
