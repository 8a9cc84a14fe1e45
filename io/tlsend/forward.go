package tlsend

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"time"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlendpoint"
)

const (
	// forwardDialTimeout bounds the opening of a connection to another instance.
	forwardDialTimeout = 250 * time.Millisecond
	// forwardIdleTimeout is how long an unused connection to another instance is kept.
	forwardIdleTimeout = 10 * time.Second
)

// Forwarder gives requests to other instances.
type Forwarder struct {
	transport    *http.Transport
	decodeAnswer func(status int, h http.Header) tlcall.Answer
}

// NewForwarder returns a forwarder that decodes answers with a function.
func NewForwarder(decodeAnswer func(status int, h http.Header) tlcall.Answer) *Forwarder {
	d := NewDialer()
	d.Timeout = forwardDialTimeout
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &connection{Conn: c, onRead: func() {}}, nil
	}
	return &Forwarder{
		transport: &http.Transport{
			DialContext:            dial,
			DisableCompression:     true,
			IdleConnTimeout:        forwardIdleTimeout,
			MaxIdleConnsPerHost:    idlePerEndpoint,
			MaxResponseHeaderBytes: headerBytes,
			ReadBufferSize:         bufferBytes,
			WriteBufferSize:        bufferBytes,
		},
		decodeAnswer: decodeAnswer,
	}
}

// Close closes idle connections.
func (f *Forwarder) Close() {
	f.transport.CloseIdleConnections()
}

// Send gives a request to the instance at an address, on a path that leads to its
// gateway; an error is always an *Error.
func (f *Forwarder) Send(ctx context.Context, peer string, a netip.AddrPort, path string, r Request) (*Reply, error) {
	q := newRequest(ctx, a.String(), path, r, r.Header)
	p := &progress{}
	q = q.WithContext(httptrace.WithClientTrace(ctx, p.trace()))
	answer, err := f.transport.RoundTrip(q)
	if err != nil {
		return nil, sendError(ctx, tlendpoint.Endpoint{ID: peer}, p, err)
	}
	return newReply(answer, f.decodeAnswer), nil
}
