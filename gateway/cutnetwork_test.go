package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// cutMode is what becomes of the connections of an instance that is cut off from all endpoints.
type cutMode int32

const (
	notCut cutMode = iota
	// hangs means that nothing comes through and no new connection is opened.
	hangs
	// resets means that connections are reset and new ones refused.
	resets
	// refuses means that connections live on and new ones are refused.
	refuses
)

var cutModes = map[string]cutMode{"hangs": hangs, "resets": resets, "refuses": refuses}

// cuttableNetwork is an instance's way to endpoints, which can be cut.
type cuttableNetwork struct {
	mode atomic.Int32
	// spared lists the addresses that a cut leaves alone.
	spared map[string]bool

	mu    sync.Mutex
	conns map[*cuttableConn]struct{}
	// healed is closed when the cut under way ends.
	healed chan struct{}
}

func newCuttableNetwork() *cuttableNetwork {
	return &cuttableNetwork{conns: map[*cuttableConn]struct{}{}, healed: make(chan struct{})}
}

func (n *cuttableNetwork) is(m cutMode) bool { return cutMode(n.mode.Load()) == m }

func (n *cuttableNetwork) cut(m cutMode) {
	n.mode.Store(int32(m))
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if m == resets && !c.isSpared {
			_ = c.Conn.Close()
		}
	}
}

func (n *cuttableNetwork) heal() {
	n.mode.Store(int32(notCut))
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.healed)
	n.healed = make(chan struct{})
}

func (n *cuttableNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	isSpared := n.spared[address]
	switch {
	case isSpared:
	case n.is(resets), n.is(refuses):
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case n.is(hangs):
		ctx, stop := context.WithTimeout(ctx, 400*time.Millisecond)
		defer stop()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	k := &cuttableConn{Conn: c, network: n, isSpared: isSpared, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[k] = struct{}{}
	return k, nil
}

// cuttableConn is a connection that a cut may stop: what is written is held up, and so is what comes.
type cuttableConn struct {
	net.Conn
	network *cuttableNetwork
	// isSpared says that the cut leaves the connection alone.
	isSpared bool
	once     sync.Once
	closed   chan struct{}
}

func (c *cuttableConn) hangs() bool { return !c.isSpared && c.network.is(hangs) }

func (c *cuttableConn) wait() {
	for c.hangs() {
		c.network.mu.Lock()
		healed := c.network.healed
		c.network.mu.Unlock()
		select {
		case <-healed:
		case <-c.closed:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (c *cuttableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.wait()
	return n, err
}

func (c *cuttableConn) Write(b []byte) (int, error) {
	if !c.hangs() {
		return c.Conn.Write(b)
	}
	// The kernel takes it in; it arrives after the cut, if the connection is still there.
	held := append([]byte(nil), b...)
	go func() {
		c.wait()
		_, _ = c.Conn.Write(held)
	}()
	return len(b), nil
}

func (c *cuttableConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
