package tlsend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlhealth"
	"trefoillanding/io/tlanswer"
)

const (
	// dialTimeout bounds the opening of a connection; nothing has been sent by then, so another endpoint can still be tried.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent bytes, or keep-alive probes, may stay
	// unacknowledged, or the peer's window closed; it overrules keepAliveProbes. A sound endpoint may be silent for a
	// second or two, and TCP doubles the time between retransmissions meanwhile.
	unackedTimeout = 4 * time.Second
	// The keep-alive settings detect a connection whose peer stopped responding while an answer is awaited.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// idleTimeout is how long an unused connection is kept; it is shorter than the endpoints' own idle timeout.
	idleTimeout = 3 * time.Second
	// idlePerEndpoint bounds the idle connections to an endpoint, which has few slots per instance.
	idlePerEndpoint = 8
	// headerBytes bounds the size of an answer's header.
	headerBytes = 64 << 10
	// bufferBytes is the size of a connection's buffers; most requests and events are smaller.
	bufferBytes = 4 << 10
)

var (
	errResting = errors.New("the endpoint wants no requests now")
	errLeaving = errors.New("the endpoint leaves")
)

// Codec encodes the headers of a send and decodes those of an answer.
type Codec struct {
	EncodeSend   func(http.Header, tlcall.Send)
	DecodeAnswer func(status int, h http.Header) tlcall.Answer
}

// Sender sends requests to endpoints.
type Sender struct {
	codec Codec
	hooks Hooks
	// transport keeps connections, for callers' requests.
	transport *tlanswer.Transport
	// singleUse opens a connection for each send, whose only answer is that to it.
	singleUse *tlanswer.Transport
	quiet     quiet
}

// Hooks are called by a Sender; all are required.
type Hooks struct {
	// Dial opens connections to endpoints, as NewDialer's does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnDial is called before each new connection is opened.
	OnDial func()
	// OnAnswer is called with each answer that is proved to be that to its request, and with
	// the time at which the request was sent.
	OnAnswer func(tlendpoint.Endpoint, tlcall.Answer, time.Time)
	// OnUnproved is called for each answer that isn't, or whose head is malformed.
	OnUnproved func(tlendpoint.Endpoint, error)
	// Admit is asked before each request that was not admitted before; nothing is sent if
	// it returns an error.
	Admit func(context.Context, tlendpoint.Endpoint) error
	// AdmitFollowUp is asked in place of Admit before a request without which another one,
	// which has been sent, can't go on.
	AdmitFollowUp func(context.Context, tlendpoint.Endpoint) error
	// IsLeaving reports whether an endpoint is known to leave, which may have become known
	// since it was chosen; it is sent no callers' requests then.
	IsLeaving func(tlendpoint.Endpoint) bool
	// IsResting reports whether an endpoint wants no requests now, which may have become so
	// since a request was admitted; nothing is sent then.
	IsResting func(tlendpoint.Endpoint) bool
}

// New returns a Sender.
func New(w Codec, hooks Hooks) *Sender {
	s := &Sender{codec: w, hooks: hooks}
	s.transport = newTransport(s.dial, false)
	s.singleUse = newTransport(s.dial, true)
	return s
}

// newTransport returns a transport whose connections each carry one request, or several.
func newTransport(dial func(ctx context.Context, network, address string) (net.Conn, error), isSingleUse bool) *tlanswer.Transport {
	return tlanswer.New(&http.Transport{
		DisableKeepAlives:      isSingleUse,
		DialContext:            dial,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    idlePerEndpoint,
		MaxResponseHeaderBytes: headerBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	})
}

// NewDialer returns the dialer for connections to endpoints.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
}

// dial opens a connection.
func (s *Sender) dial(ctx context.Context, network, address string) (net.Conn, error) {
	s.hooks.OnDial()
	c, err := s.hooks.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, onRead: s.quiet.heard, dialed: time.Now()}, nil
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
	s.DropIdle()
}

// DropIdle closes the idle connections, which may be dead without a sign.
func (s *Sender) DropIdle() {
	s.transport.CloseIdleConnections()
}

// Send sends a request to an endpoint and returns the answer once its header has
// arrived; an error is always an *Error. An answer that isn't proved to be that to the
// request counts as none.
func (s *Sender) Send(ctx context.Context, e tlendpoint.Endpoint, r Request, c tlcall.Send) (*Reply, error) {
	if !c.IsAdmitted {
		if err := s.admit(ctx, e, c.IsFollowUp); err != nil {
			return nil, err
		}
	}
	if s.hooks.IsResting(e) {
		return nil, &Error{Endpoint: e.ID, Outcome: tlhealth.Refused, IsUnsent: true, Err: errResting}
	}
	if r.ID != "" && s.hooks.IsLeaving(e) {
		return nil, &Error{Endpoint: e.ID, Outcome: tlhealth.Refused, IsUnsent: true, Err: errLeaving}
	}
	sent := time.Now()
	s.quiet.begin()
	a, p, err := s.roundTrip(ctx, e, r, c)
	if err != nil {
		s.quiet.end()
		var malformed *tlanswer.Error
		if errors.As(err, &malformed) {
			s.hooks.OnUnproved(e, err)
		}
		return nil, sendError(ctx, e, p, err)
	}
	a.Body = &openBody{a.Body, sync.OnceFunc(s.quiet.end)}
	reply := newReply(a, s.codec.DecodeAnswer)
	reply.DialedAt = p.dialedAt()
	if err := Unproved(r, c.Stage, reply); err != nil {
		p.endConnection()
		_ = a.Body.Close()
		s.hooks.OnUnproved(e, err)
		return nil, &Error{Endpoint: e.ID, MayHaveRun: true, Outcome: tlhealth.Broken, Err: err}
	}
	s.hooks.OnAnswer(e, reply.Answer, sent)
	return reply, nil
}

// roundTrip sends a request on a kept connection; on one of its own if it has no ID, by
// which its answer could be told from others, or if the kept one has carried it before.
func (s *Sender) roundTrip(ctx context.Context, e tlendpoint.Endpoint, r Request, c tlcall.Send) (*http.Response, *progress, error) {
	if r.ID != "" {
		p := &progress{id: r.ID}
		a, err := p.send(s.transport, s.newRequest(ctx, e, r, c))
		if err == nil || !p.hasCarried.Load() {
			return a, p, err
		}
	}
	p := &progress{}
	a, err := p.send(s.singleUse, s.newRequest(ctx, e, r, c))
	return a, p, err
}

// send sends a request, whose progress p records. The context that ends a send which the
// library would repeat outlives it, as the answer's body does.
func (p *progress) send(t *tlanswer.Transport, q *http.Request) (*http.Response, error) {
	var ctx context.Context
	ctx, p.cancel = context.WithCancelCause(httptrace.WithClientTrace(q.Context(), p.trace()))
	a, err := t.RoundTrip(q.WithContext(ctx))
	if err != nil {
		p.cancel(err)
		return nil, err
	}
	a.Body = &openBody{a.Body, func() { p.cancel(nil) }}
	return a, nil
}

// Admit asks whether a request may be sent to an endpoint now, ahead of a send with
// tlcall.Send.IsAdmitted; an error is always an *Error.
func (s *Sender) Admit(ctx context.Context, e tlendpoint.Endpoint) error {
	return s.admit(ctx, e, false)
}

func (s *Sender) admit(ctx context.Context, e tlendpoint.Endpoint, isFollowUp bool) error {
	ask := s.hooks.Admit
	if isFollowUp {
		ask = s.hooks.AdmitFollowUp
	}
	err := ask(ctx, e)
	switch {
	case err == nil:
		return nil
	case ctx.Err() != nil:
		return sendError(ctx, e, &progress{}, err)
	}
	return &Error{Endpoint: e.ID, Outcome: tlhealth.Refused, IsUnsent: true, Err: err}
}

// Dial opens a connection to an endpoint and closes it.
func (s *Sender) Dial(ctx context.Context, e tlendpoint.Endpoint) error {
	c, err := s.dial(ctx, "tcp", e.Address.String())
	if err != nil {
		return err
	}
	return c.Close()
}

// HasEnded reports whether an endpoint refuses connections, as it does once its process
// has ended; one that is silent may only be out of reach.
func (s *Sender) HasEnded(ctx context.Context, e tlendpoint.Endpoint) bool {
	return errors.Is(s.Dial(ctx, e), syscall.ECONNREFUSED)
}

func (s *Sender) newRequest(ctx context.Context, e tlendpoint.Endpoint, r Request, c tlcall.Send) *http.Request {
	h := r.Header.Clone()
	c.Endpoint = e.ID
	s.codec.EncodeSend(h, c)
	return newRequest(ctx, e.Address.String(), r.Target, r, h)
}

// newRequest returns the HTTP request for a target at an address, with a header, which it keeps.
func newRequest(ctx context.Context, address, target string, r Request, h http.Header) *http.Request {
	if _, ok := h["User-Agent"]; !ok {
		// An empty value prevents the Transport from adding its default.
		h.Set("User-Agent", "")
	}
	q := (&http.Request{
		Method:     r.Method,
		URL:        targetURL(address, target),
		Host:       r.Host,
		Header:     h,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}).WithContext(ctx)
	q.Body, q.ContentLength = r.body()
	return q
}

// newReply returns the reply that an HTTP answer is.
func newReply(a *http.Response, decode func(status int, h http.Header) tlcall.Answer) *Reply {
	length := a.ContentLength
	if a.Request.Method == http.MethodHead {
		// The length of an answer to HEAD is that of the body that it hasn't.
		length = 0
	}
	return &Reply{
		Status: a.StatusCode,
		Header: a.Header,
		Answer: decode(a.StatusCode, a.Header),
		Body:   a.Body,
		Length: length,

		EndsWithConnection: tlanswer.EndsWithConnection(a),
	}
}

func sendError(ctx context.Context, e tlendpoint.Endpoint, p *progress, err error) *Error {
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
