package tlentry

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest"

	"trefoillanding/core/tlwire"
)

const (
	// maxHeaderBytes is the header size beyond which the HTTP library itself refuses a
	// request, without a verdict.
	maxHeaderBytes = 4 << 20
	// keepAliveIdle is how long a connection is silent before it is probed, and the time
	// between probes.
	keepAliveIdle = 5 * time.Second
	// keepAliveProbes is the number of unanswered probes after which a connection is lost.
	keepAliveProbes = 3
	// idleTimeout is how long a connection may stay open without a request.
	idleTimeout = 2 * time.Minute
)

// Server is a listening HTTP server for an Entry.
type Server struct {
	http *http.Server
	done chan struct{}
	err  error
}

// Listen starts to serve an entry, with TLS unless c is nil. It returns an error when
// the address can't be bound.
func Listen(e *Entry, a netip.AddrPort, c *tls.Config) (*Server, error) {
	logx.Disable()
	s := &Server{done: make(chan struct{})}
	r, err := rest.NewServer(config(a, e.deps.Settings.Security), rest.WithRouter(router{e}))
	if err != nil {
		return nil, fmt.Errorf("the HTTP server can't be set up: %w", err)
	}
	bound := make(chan netip.AddrPort, 1)
	prepare := func(h *http.Server) {
		s.prepare(h, e, bound)
		h.TLSConfig = c
	}
	go s.run(r, prepare)
	select {
	case <-bound:
		return s, nil
	case <-s.done:
		return nil, s.err
	}
}

// config leaves all middlewares of the library switched off, since they refuse requests
// without a verdict.
func config(a netip.AddrPort, s *tlwire.SecuritySettings) rest.RestConf {
	return rest.RestConf{
		Host:     a.Addr().String(),
		Port:     int(a.Port()),
		CertFile: s.Certificate,
		KeyFile:  s.Key,
	}
}

func (s *Server) prepare(h *http.Server, e *Entry, bound chan<- netip.AddrPort) {
	s.http = h
	h.MaxHeaderBytes = maxHeaderBytes
	h.ReadHeaderTimeout = e.deps.Settings.Limits.HeaderTimeout
	h.IdleTimeout = idleTimeout
	h.ConnContext = keepAlive
	h.BaseContext = func(l net.Listener) context.Context {
		a, _ := netip.ParseAddrPort(l.Addr().String())
		bound <- a
		return context.Background()
	}
}

// run serves until the server is closed. The library panics when it can't listen.
func (s *Server) run(r *rest.Server, prepare rest.StartOption) {
	defer close(s.done)
	defer func() {
		if p := recover(); p != nil {
			s.err = fmt.Errorf("the HTTP server can't listen: %v", p)
		}
	}()
	r.StartWithOpts(prepare)
}

func keepAlive(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetKeepAliveConfig(net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveIdle,
			Count:    keepAliveProbes,
		})
	}
	return ctx
}

// Shutdown stops listening and waits until the last request is answered; it returns the
// error of ctx when that ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	return s.http.Close()
}
