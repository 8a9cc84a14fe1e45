package tlengine

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

const (
	// serviceName is the name under which httpc keeps its breaker, which is off:
	// it would refuse calls without a verdict or a counter.
	serviceName = "trefoillanding-engines"
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 2 << 10
	// idleConnections is how many idle connections are kept for each engine.
	idleConnections = 64
	idleTimeout     = 30 * time.Second
	// finishTimeout bounds the wait for the end of an answer after its last line.
	finishTimeout = 100 * time.Millisecond
	// The keep-alive finds a dead engine's connections within about 5 s.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// Client talks to engines; it is safe for concurrent use.
type Client struct {
	options   Options
	transport *http.Transport
	service   httpc.Service
	canceller *canceller
	watchdog  *watchdog
	drains    sync.WaitGroup
	life      context.Context
	end       context.CancelFunc
	done      chan struct{}
}

// New returns a client that runs until Close.
func New(o Options) *Client {
	breaker.NoBreakerFor(serviceName)
	t := newTransport(o)
	x, end := context.WithCancel(context.Background())
	c := &Client{
		options:   o,
		transport: t,
		service:   httpc.NewServiceWithClient(serviceName, &http.Client{Transport: t, CheckRedirect: noRedirect}),
		watchdog:  newWatchdog(o.TokenStallTimeout),
		life:      x,
		end:       end,
		done:      make(chan struct{}),
	}
	c.canceller = newCanceller(o, c.cancelOnce)
	go c.run()
	return c
}

// Close ends the client once every cancel is confirmed or the context ends.
func (c *Client) Close(x context.Context) {
	c.canceller.drain(x)
	c.end()
	<-c.done
}

// Done is closed when the client has ended.
func (c *Client) Done() <-chan struct{} {
	return c.done
}

func (c *Client) run() {
	defer close(c.done)
	var g sync.WaitGroup
	g.Go(func() { c.canceller.run(c.life) })
	g.Go(func() { c.watchdog.run(c.life) })
	g.Wait()
	c.drains.Wait()
	c.transport.CloseIdleConnections()
}

// finish reads the end of an answer whose last line has come, so that its
// connection can be used again, and then calls ended. It does not wait for that.
func (c *Client) finish(body io.ReadCloser, ended func()) {
	c.drains.Go(func() {
		defer ended()
		t := time.AfterFunc(finishTimeout, func() { _ = body.Close() })
		defer t.Stop()
		_, _ = io.Copy(io.Discard, io.LimitReader(body, bufferBytes))
		_ = body.Close()
	})
}

func newTransport(o Options) *http.Transport {
	d := &net.Dialer{
		Timeout: o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	return &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
		DisableCompression:  true,
	}
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}
