package tlstandin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const headerTimeout = 10 * time.Second

// AnyPort is a loopback address whose port the system chooses.
var AnyPort = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

// Server serves one stand-in at an address.
type Server struct {
	address netip.AddrPort
	server  *http.Server
	cancel  context.CancelFunc
	done    chan struct{}
}

// Listen starts to serve a handler at an address.
func Listen(a netip.AddrPort, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", a, err)
	}
	c, cancel := context.WithCancel(context.Background())
	s := &Server{
		address: netip.MustParseAddrPort(l.Addr().String()),
		cancel:  cancel,
		done:    make(chan struct{}),
	}
	s.server = &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return c },
	}
	go s.run(l)
	return s, nil
}

// Address returns where the server listens.
func (s *Server) Address() netip.AddrPort {
	return s.address
}

// Close cuts every connection and stops listening.
func (s *Server) Close() {
	s.cancel()
	_ = s.server.Close()
	<-s.done
}

// Done is closed when the server has ended.
func (s *Server) Done() <-chan struct{} {
	return s.done
}

func (s *Server) run(l net.Listener) {
	defer close(s.done)
	err := s.server.Serve(l)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.cancel()
	}
}
