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

	"trefoillanding/io/tlanswer"
)

const (
	// serviceName names the circuit breaker of httpc, which is disabled because
	// it would refuse calls without a verdict or a counter.
	serviceName = "trefoillanding-engines"
	// connectionBufferBytes is the size of each of a connection's read and write buffers.
	connectionBufferBytes = 2 << 10
	// idleConnections is the limit of idle connections kept for each engine.
	idleConnections = 64
	idleTimeout     = 30 * time.Second
	// drainTimeout bounds reading the rest of a response body after its last line.
	drainTimeout = 100 * time.Millisecond
	// These TCP keep-alive settings detect the connections of a dead engine within about 5 s.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// Client calls engines; it is safe for concurrent use.
type Client struct {
	options    Options
	transport  *tlanswer.Transport
	service    httpc.Service
	canceller  *canceller
	watchdog   *watchdog
	bodyDrains sync.WaitGroup
	runContext context.Context
	stopRun    context.CancelFunc
	done       chan struct{}
}

// New returns a client that runs until Close.
func New(o Options) *Client {
	breaker.NoBreakerFor(serviceName)
	t := newTransport(o)
	x, end := context.WithCancel(context.Background())
	c := &Client{
		options:    o,
		transport:  t,
		service:    httpc.NewServiceWithClient(serviceName, &http.Client{Transport: t, CheckRedirect: noRedirect}),
		watchdog:   newWatchdog(o.TokenStallTimeout),
		runContext: x,
		stopRun:    end,
		done:       make(chan struct{}),
	}
	c.canceller = newCanceller(o, c.cancelOnce)
	go c.run()
	return c
}

// Close stops the client once no cancel is pending or the context ends.
func (c *Client) Close(x context.Context) {
	c.canceller.drain(x)
	c.stopRun()
	<-c.done
}

// Done returns a channel that is closed when the client has stopped.
func (c *Client) Done() <-chan struct{} {
	return c.done
}

func (c *Client) run() {
	defer close(c.done)
	var g sync.WaitGroup
	g.Go(func() { c.canceller.run(c.runContext) })
	g.Go(func() { c.watchdog.run(c.runContext) })
	g.Wait()
	c.bodyDrains.Wait()
	c.transport.CloseIdleConnections()
}

// drainBody reads, in the background, the rest of a response body whose last line
// has been read, so that its connection can be reused, and then calls ended.
func (c *Client) drainBody(body io.ReadCloser, ended func()) {
	c.bodyDrains.Go(func() {
		defer ended()
		t := time.AfterFunc(drainTimeout, func() { _ = body.Close() })
		defer t.Stop()
		_, _ = io.Copy(io.Discard, io.LimitReader(body, connectionBufferBytes))
		_ = body.Close()
	})
}

func newTransport(o Options) *tlanswer.Transport {
	d := &net.Dialer{
		Timeout: o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	return tlanswer.New(&http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      connectionBufferBytes,
		WriteBufferSize:     connectionBufferBytes,
		DisableCompression:  true,
	})
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}
