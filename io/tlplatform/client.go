package tlplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlanswer"
)

const (
	serviceName      = "platform"
	dialTimeout      = 2 * time.Second
	idleTimeout      = 30 * time.Second
	maxIdlePerHost   = 64
	maxResponseBytes = 64 << 20
)

// Client calls the platform's services; it is safe for concurrent use.
type Client struct {
	base      string
	timeout   time.Duration
	service   httpc.Service
	transport *tlanswer.Transport
	cached    cachedList
}

// New returns a client of the platform at an address. timeout bounds each call,
// in addition to the time that a read is asked to wait.
func New(a netip.AddrPort, timeout time.Duration) *Client {
	breaker.NoBreakerFor(serviceName)
	t := tlanswer.New(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
	})
	return &Client{
		base:      "http://" + a.String(),
		timeout:   timeout,
		service:   httpc.NewServiceWithClient(serviceName, &http.Client{Transport: t}),
		transport: t,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Append appends records to a stream atomically and returns the offset of the
// first; an error is a NotAppendedError or a MayBeAppendedError.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	body, err := json.Marshal(tlwire.AppendRequest{Records: records})
	if err != nil {
		return 0, &NotAppendedError{Stream: stream, Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	var a tlwire.AppendResult
	status, err := c.do(ctx, http.MethodPost, "/log/"+url.PathEscape(stream)+"/records", body, &a)
	switch {
	case err != nil && !connected:
		return 0, &NotAppendedError{Stream: stream, Cause: err}
	case err != nil:
		return 0, &MayBeAppendedError{Stream: stream, Cause: err}
	case status == http.StatusTooManyRequests:
		return 0, &NotAppendedError{Stream: stream, Cause: &StatusError{Status: status}}
	case status != http.StatusOK:
		return 0, &MayBeAppendedError{Stream: stream, Cause: &StatusError{Status: status}}
	case a.FirstOffset == 0:
		return 0, &MayBeAppendedError{Stream: stream, Cause: fmt.Errorf("the response has no offset")}
	}
	return a.FirstOffset, nil
}

// Read reads at most limit records of a stream from an offset on, waiting up to
// wait for the first; it returns a RetentionError if the offset is no longer
// retained.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (tlwire.ReadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	q := url.Values{}
	q.Set("From", strconv.FormatUint(from, 10))
	q.Set("Limit", strconv.Itoa(limit))
	q.Set("Wait", wait.String())
	var r tlwire.ReadResult
	status, err := c.do(ctx, http.MethodGet, "/log/"+url.PathEscape(stream)+"/records?"+q.Encode(), nil, &r)
	switch {
	case err != nil:
		return tlwire.ReadResult{}, err
	case status == http.StatusGone:
		return r, &RetentionError{Stream: stream, From: from, Oldest: r.Oldest, Next: r.Next}
	case status != http.StatusOK:
		return tlwire.ReadResult{}, &StatusError{Status: status}
	}
	return r, nil
}

// WeightInfo returns the size of a model version's weights and the rate at which
// the weight store serves them.
func (c *Client) WeightInfo(ctx context.Context, model, version string) (tlwire.WeightInfo, error) {
	return getJSON[tlwire.WeightInfo](ctx, c, "/weights/"+url.PathEscape(model)+"/"+url.PathEscape(version))
}

func getJSON[T any](ctx context.Context, c *Client, path string) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var v, zero T
	status, err := c.do(ctx, http.MethodGet, path, nil, &v)
	if err != nil {
		return zero, err
	}
	if status != http.StatusOK {
		return zero, &StatusError{Status: status}
	}
	return v, nil
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, into any) (int, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	status, _, err := c.exchange(r, into)
	return status, err
}

// exchange sends a request and decodes the body of a response with status 200
// or 410.
func (c *Client) exchange(r *http.Request, into any) (int, http.Header, error) {
	a, err := c.service.DoRequest(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = a.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(a.Body, maxResponseBytes))
	if err != nil {
		return a.StatusCode, a.Header, err
	}
	if a.StatusCode == http.StatusOK || a.StatusCode == http.StatusGone {
		return a.StatusCode, a.Header, json.Unmarshal(data, into)
	}
	return a.StatusCode, a.Header, nil
}
