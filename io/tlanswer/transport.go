package tlanswer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// Transport is an http.RoundTripper that returns only answers that HTTP/1 allows, with bodies
// that end without an error only if they are proved to be whole.
type Transport struct {
	base *http.Transport
}

// New returns a Transport that sends with base, whose DialContext it replaces. A request with
// a body must have a ContentLength.
func New(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &connection{Conn: c}, nil
	}
	return &Transport{base: base}
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}

// RoundTrip sends a request and returns its answer; the error is an *Error if the answer is
// malformed. Reading the body fails with an *Error if its end is not proved or its trailer is
// malformed.
func (t *Transport) RoundTrip(q *http.Request) (*http.Response, error) {
	var x exchange
	trace := &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { x.begin(i.Conn, max(q.ContentLength, 0)) },
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			return checkNames(http.Header(h))
		},
	}
	a, err := t.base.RoundTrip(q.WithContext(httptrace.WithClientTrace(q.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(q, a); err != nil {
		_ = a.Body.Close()
		x.end()
		return nil, err
	}
	switch {
	case EndsWithConnection(a):
		x.requireUpload()
	case len(a.TransferEncoding) > 0:
		a.Body = &chunkedBody{a.Body, a, x.end}
	}
	return a, nil
}

// EndsWithConnection reports whether the body of an answer has neither a length nor chunks.
func EndsWithConnection(a *http.Response) bool {
	// The length of an answer to HEAD is that of the body that it hasn't.
	return a.Request.Method != http.MethodHead && a.ContentLength < 0 && len(a.TransferEncoding) == 0
}

// Dialled returns the connection that the DialContext passed to New returned, given one that
// httptrace names.
func Dialled(c net.Conn) net.Conn {
	if k, ok := c.(*connection); ok {
		return k.Conn
	}
	return c
}

// exchange is a request on its connection. Over TLS, which proves the end of a connection by
// itself, there is none to follow.
type exchange struct {
	conn atomic.Pointer[connection]
}

// begin notes that the request, with a body of length bytes, is about to be written on a connection.
func (x *exchange) begin(c net.Conn, length int64) {
	if k, ok := c.(*connection); ok {
		k.upload.Store(newUpload(length))
		x.conn.Store(k)
	}
}

// requireUpload makes the end of the connection count only once the request is written whole.
func (x *exchange) requireUpload() {
	if c := x.conn.Load(); c != nil {
		c.endsAnswer.Store(true)
	}
}

// end closes the connection: what follows a malformed answer on it is not to be trusted.
func (x *exchange) end() {
	if c := x.conn.Load(); c != nil {
		_ = c.Close()
	}
}
