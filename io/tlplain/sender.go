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

	"trefoillanding/io/tlanswer"
)

const (
	dialTimeout        = time.Second
	idleTimeout        = 30 * time.Second
	maxIdlePerEndpoint = 64
	// maxAnswerBytes is the largest answer body that is returned to the caller.
	maxAnswerBytes = 32 << 20
)

var errAnswerTooLarge = errors.New("the answer body exceeds the size limit")

// sender sends a call to an endpoint and makes no retries of its own.
type sender struct {
	transport *tlanswer.Transport
}

// exchangeResult is the result of sending a call to an endpoint.
type exchangeResult struct {
	answer Answer
	// isUnsent says that no byte of the call was written and none will be.
	isUnsent bool
	err      error
}

// newSingleUseSender returns a sender that opens a connection for each call,
// because net/http resends a request only on a connection that was used before.
func newSingleUseSender() sender {
	return sender{transport: newTransport(true)}
}

// newPooledSender returns a sender that reuses connections.
func newPooledSender() sender {
	return sender{transport: newTransport(false)}
}

func newTransport(isSingleUse bool) *tlanswer.Transport {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	return tlanswer.New(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:   isSingleUse,
		Protocols:           p,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerEndpoint,
		IdleConnTimeout:     idleTimeout,
	})
}

func (s sender) close() {
	s.transport.CloseIdleConnections()
}

// send sends the call once and returns the result; a redirect is returned as an answer.
func (s sender) send(ctx context.Context, to netip.AddrPort, c Call) exchangeResult {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r, err := newRequest(ctx, to, c)
	if err != nil {
		return exchangeResult{isUnsent: true, err: err}
	}
	a, err := s.transport.RoundTrip(r)
	if err != nil {
		return exchangeResult{isUnsent: !connected.Load(), err: err}
	}
	defer func() { _ = a.Body.Close() }()
	answer := Answer{Status: a.StatusCode, Header: forwardedHeader(a.Header)}
	answer.Body, err = io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes+1))
	if err == nil && len(answer.Body) > maxAnswerBytes {
		err = errAnswerTooLarge
	}
	return exchangeResult{answer: answer, err: err}
}

func newRequest(ctx context.Context, to netip.AddrPort, c Call) (*http.Request, error) {
	url := "http://" + to.String() + c.Path
	if c.Query != "" {
		url += "?" + c.Query
	}
	r, err := http.NewRequestWithContext(ctx, c.Method, url, bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	r.GetBody = nil
	r.Header = forwardedHeader(c.Header)
	return r, nil
}

// isDraining reports whether the endpoint refused the call because it is draining.
func (r exchangeResult) isDraining() bool {
	return r.err == nil && r.answer.Status == http.StatusServiceUnavailable && r.answer.Header.Get(drainingHeader) != ""
}

func (r exchangeResult) isTimeout() bool {
	var n net.Error
	return errors.Is(r.err, context.DeadlineExceeded) || errors.As(r.err, &n) && n.Timeout()
}
