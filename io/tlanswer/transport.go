package tlanswer

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// defaultHeadBytes is the limit of an http.Transport that has none set.
const defaultHeadBytes = 10 << 20

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
			return x.checkInterim(http.Header(h), t.headBytes())
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

// headBytes returns the limit on the size of the heads of an answer, in bytes.
func (t *Transport) headBytes() int64 {
	return cmp.Or(t.base.MaxResponseHeaderBytes, defaultHeadBytes)
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

// exchange is a request on its connection. Over TLS there is none to follow, since what is
// written is encrypted: the end of a connection is not checked there.
type exchange struct {
	conn atomic.Pointer[connection]
	// interimBytes is the size of the interim heads so far.
	interimBytes int64
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

// checkInterim returns an *Error if the head of an interim answer is malformed, or if those so
// far have more than limit bytes: net/http leaves that to those who look at them.
func (x *exchange) checkInterim(h http.Header, limit int64) error {
	x.interimBytes += headSize(h)
	if x.interimBytes > limit {
		return &Error{Defect: TooLong}
	}
	return checkNames(h)
}

// end closes the connection: what follows a malformed answer on it is not to be trusted.
func (x *exchange) end() {
	if c := x.conn.Load(); c != nil {
		_ = c.Close()
	}
}
