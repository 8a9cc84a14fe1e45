package tlpeer

import (
	"context"
	"time"

	"github.com/coder/websocket"

	"trefoillanding/core/tlcodec"
	"trefoillanding/core/tlwire"
)

func (c *connection) writeLoop() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case data := <-c.outbox:
			if err := c.write(data); err != nil {
				c.close()
				return
			}
		}
	}
}

func (c *connection) write(data []byte) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.mesh.o.SuspectAfter)
	defer cancel()
	c.mesh.count(countFramesSent)
	c.mesh.o.Add(countBytesSent, int64(len(data)))
	return c.socket.Write(ctx, websocket.MessageBinary, data)
}

func (c *connection) readLoop() {
	for {
		kind, data, err := c.socket.Read(c.ctx)
		if err != nil {
			return
		}
		c.touch(&c.lastReceived)
		c.mesh.count(countFramesReceived)
		c.mesh.o.Add(countBytesReceived, int64(len(data)))
		e, err := tlcodec.Decode[tlwire.Envelope](data)
		if err != nil || kind != websocket.MessageBinary || e.Kind == "" {
			c.mesh.count(countMalformedFrame)
			_ = c.socket.Close(websocket.StatusInvalidFramePayloadData, "not an envelope")
			return
		}
		c.dispatch(e)
	}
}

// dispatch passes an answer to its call, a call to its handler and a one-way
// message to the inbox.
func (c *connection) dispatch(e tlwire.Envelope) {
	c.touch(&c.lastUsed)
	switch {
	case e.IsAnswer:
		c.deliverAnswer(e)
	case e.Call != 0:
		c.handleCall(e)
	default:
		select {
		case c.inbox <- e:
		case <-c.ctx.Done():
		}
	}
}

func (c *connection) deliverAnswer(e tlwire.Envelope) {
	c.mu.Lock()
	w := c.pending[e.Call]
	delete(c.pending, e.Call)
	c.mu.Unlock()
	if w == nil {
		c.mesh.count(countLateAnswer)
		return
	}
	w <- e
}

func (c *connection) handleCall(e tlwire.Envelope) {
	select {
	case c.calls <- struct{}{}:
	default:
		c.mesh.count(countTooManyCalls)
		_ = c.send(tlwire.Envelope{Kind: e.Kind, Call: e.Call, IsAnswer: true, Body: cborNull, Error: busyText})
		return
	}
	go func() {
		defer func() { <-c.calls }()
		_ = c.send(c.mesh.handle(c.ctx, c.peer, e))
	}()
}

// inboxLoop handles one-way messages in the order received.
func (c *connection) inboxLoop() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case e := <-c.inbox:
			c.mesh.handle(c.ctx, c.peer, e)
		}
	}
}

// keepAliveLoop closes the connection when it is idle, or when the peer is silent
// and does not answer a ping within SuspectAfter.
func (c *connection) keepAliveLoop() {
	t := time.NewTicker(c.mesh.o.Heartbeat)
	defer t.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-t.C:
		}
		if c.isIdle() {
			c.mesh.count(countIdleClosed)
			_ = c.socket.Close(websocket.StatusNormalClosure, "idle")
			return
		}
		if c.since(&c.lastReceived) >= c.mesh.o.Heartbeat && !c.ping() {
			c.mesh.count(countSilentClosed)
			c.mesh.onUnreachable(c.peer.Name)
			c.close()
			return
		}
	}
}

func (c *connection) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0 && len(c.calls) == 0 && c.since(&c.lastUsed) > c.mesh.o.Idle
}

func (c *connection) ping() bool {
	ctx, cancel := context.WithTimeout(c.ctx, c.mesh.o.SuspectAfter)
	defer cancel()
	if err := c.socket.Ping(ctx); err != nil {
		return c.ctx.Err() != nil
	}
	c.touch(&c.lastReceived)
	return true
}
