package tlsend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlhealth"
)

const (
	// dialTimeout bounds the opening of a connection; nothing is sent before, so that another endpoint can be tried.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent bytes may go unacknowledged: above one retransmission.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveEvery find a connection that went silent while an answer is awaited.
	keepAliveIdle  = time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 2
	// idleTimeout is how long a connection is kept without use; below what endpoints keep theirs.
	idleTimeout = 3 * time.Second
	// idlePerEndpoint bounds the idle connections to an endpoint, which has few slots for each instance.
	idlePerEndpoint = 8
	// headerBytes bounds the header of an answer.
	headerBytes = 64 << 10
	// bufferBytes is the size of a connection's buffers; most requests and events are smaller.
	bufferBytes = 4 << 10
)

var errOtherRequest = errors.New("the answer belongs to another request")

// Codec spells sends and answers.
type Codec struct {
	EncodeSend   func(http.Header, tlcall.Send)
	DecodeAnswer func(status int, h http.Header) tlcall.Answer
}

// Sender sends requests to endpoints.
type Sender struct {
	wire      Codec
	transport *http.Transport
	dials     func()
}

// New returns a sender; dials is told of each new connection.
func New(w Codec, dials func()) *Sender {
	d := &net.Dialer{
		Timeout: dialTimeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveEvery,
			Count:    keepAliveCount,
		},
	}
	s := &Sender{wire: w, dials: dials}
	s.transport = &http.Transport{
		DialContext:            s.dial(d),
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    idlePerEndpoint,
		MaxResponseHeaderBytes: headerBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}
	return s
}

func (s *Sender) dial(d *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		s.dials()
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &connection{Conn: c}, nil
	}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Close closes the idle connections.
func (s *Sender) Close() {
	s.transport.CloseIdleConnections()
}

// Send sends a request to an endpoint and returns its answer once the header is
// there; an error is always an *Error.
func (s *Sender) Send(ctx context.Context, e tlendpoint.Endpoint, r Request, c tlcall.Send) (*Reply, error) {
	p := &progress{}
	ctx = httptrace.WithClientTrace(ctx, p.trace())
	a, err := s.transport.RoundTrip(s.outgoing(ctx, e, r, c))
	if err != nil {
		return nil, failure(ctx, e, p, err)
	}
	reply := &Reply{
		Status: a.StatusCode,
		Header: a.Header,
		Answer: s.wire.DecodeAnswer(a.StatusCode, a.Header),
		Body:   a.Body,
		Length: a.ContentLength,
	}
	if reply.Answer.ID != "" && reply.Answer.ID != r.ID {
		_ = a.Body.Close()
		return nil, &Error{Endpoint: e.ID, MayHaveRun: true, Outcome: tlhealth.Broken, Err: errOtherRequest}
	}
	return reply, nil
}

func (s *Sender) outgoing(ctx context.Context, e tlendpoint.Endpoint, r Request, c tlcall.Send) *http.Request {
	h := r.Header.Clone()
	c.Endpoint = e.ID
	s.wire.EncodeSend(h, c)
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps the Transport from adding its own.
		h.Set("User-Agent", "")
	}
	q := (&http.Request{
		Method:     r.Method,
		URL:        targetURL(e.Address.String(), r.Target),
		Host:       r.Host,
		Header:     h,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}).WithContext(ctx)
	q.Body, q.ContentLength = r.body()
	return q
}

func failure(ctx context.Context, e tlendpoint.Endpoint, p *progress, err error) *Error {
	f := &Error{Endpoint: e.ID, MayHaveRun: p.mayHaveRun(), Outcome: tlhealth.Broken, Err: err}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		f.Outcome = tlhealth.CallerGone
	case ctx.Err() != nil:
		f.Outcome = tlhealth.TimedOut
	case !p.isConnected():
		f.Outcome = tlhealth.ConnectFailed
	}
	return f
}
