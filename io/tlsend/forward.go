package tlsend

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlendpoint"
	"trefoillanding/io/tlanswer"
)

// forwardDialTimeout bounds the opening of a connection to another instance.
const forwardDialTimeout = 250 * time.Millisecond

// Forwarder gives requests to other instances, each on a connection of its own, by which
// also a refusal, which names no request, is proved to be that of the request.
type Forwarder struct {
	transport    *tlanswer.Transport
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
	return &Forwarder{transport: newTransport(dial, true), decodeAnswer: decodeAnswer}
}

// Close closes idle connections.
func (f *Forwarder) Close() {
	f.transport.CloseIdleConnections()
}

// Send gives a request to the instance at an address, on a path that leads to its
// gateway; an error is always an *Error.
func (f *Forwarder) Send(ctx context.Context, peer string, a netip.AddrPort, path string, r Request) (*Reply, error) {
	p := &progress{}
	answer, err := p.send(f.transport, newRequest(ctx, a.String(), path, r, r.Header))
	if err != nil {
		return nil, sendError(ctx, tlendpoint.Endpoint{ID: peer}, p, err)
	}
	return newReply(answer, f.decodeAnswer), nil
}
