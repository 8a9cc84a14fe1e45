package tlplain

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	maxIdle     = 64
	// maxAnswerBytes is the largest answer that is passed on.
	maxAnswerBytes = 32 << 20
)

var errAnswerTooLarge = errors.New("the answer is too large")

// sender makes one exchange with an endpoint and never repeats it by itself.
type sender struct {
	transport *http.Transport
}

// sent is what became of an exchange.
type sent struct {
	answer Answer
	// isUnsent says that not a byte was written and none ever will be.
	isUnsent bool
	err      error
}

// newOnceSender returns a sender that uses a fresh connection for each call:
// net/http repeats a request only on a connection that it has used before.
func newOnceSender() sender {
	t := newTransport()
	t.DisableKeepAlives = true
	return sender{transport: t}
}

// newSender returns a sender that keeps connections.
func newSender() sender {
	return sender{transport: newTransport()}
}

func newTransport() *http.Transport {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		Protocols:           p,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
	}
}

func (s sender) close() {
	s.transport.CloseIdleConnections()
}

// send makes the exchange; redirects come back as answers.
func (s sender) send(ctx context.Context, to netip.AddrPort, c Call) sent {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r, err := request(ctx, to, c)
	if err != nil {
		return sent{isUnsent: true, err: err}
	}
	a, err := s.transport.RoundTrip(r)
	if err != nil {
		return sent{isUnsent: !connected.Load(), err: err}
	}
	defer func() { _ = a.Body.Close() }()
	answer := Answer{Status: a.StatusCode, Header: forwarded(a.Header)}
	answer.Body, err = io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes+1))
	if err == nil && len(answer.Body) > maxAnswerBytes {
		err = errAnswerTooLarge
	}
	return sent{answer: answer, err: err}
}

func request(ctx context.Context, to netip.AddrPort, c Call) (*http.Request, error) {
	url := "http://" + to.String() + c.Path
	if c.Query != "" {
		url += "?" + c.Query
	}
	r, err := http.NewRequestWithContext(ctx, c.Method, url, bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	r.GetBody = nil
	r.Header = forwarded(c.Header)
	return r, nil
}

// isDraining says that the endpoint refused the call since it is leaving.
func (s sent) isDraining() bool {
	return s.err == nil && s.answer.Status == http.StatusServiceUnavailable && s.answer.Header.Get(drainingHeader) != ""
}

func (s sent) isTimeout() bool {
	var n net.Error
	return errors.Is(s.err, context.DeadlineExceeded) || errors.As(s.err, &n) && n.Timeout()
}
