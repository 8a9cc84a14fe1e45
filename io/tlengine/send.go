package tlengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"trefoillanding/core/tlwire"
)

// answerLimitBytes bounds how much of a response body is read, in bytes.
const answerLimitBytes = 16 << 20

// send makes one call and returns the response; a status of 300 or above becomes an error.
func (c *Client) send(x context.Context, method string, a netip.AddrPort, path string, body any) (*http.Response, error) {
	b := []byte{}
	if body != nil {
		var err error
		b, err = json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode engine request: %w", err)
		}
	}
	r, err := http.NewRequestWithContext(x, method, "http://"+a.String()+path, bytes.NewReader(b))
	if err != nil {
		return nil, fmt.Errorf("create engine request: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	w, err := c.service.DoRequest(r)
	if err != nil {
		return nil, c.sendError(x, err)
	}
	if w.StatusCode >= http.StatusMultipleChoices {
		return nil, c.readRefusal(w)
	}
	return w, nil
}

// sendError distinguishes a call that never reached the engine (dial failed) from one that may have.
func (c *Client) sendError(x context.Context, err error) error {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return c.newError(Unreachable, err)
	}
	return c.readError(x, err)
}

// readError distinguishes a context that ended from a connection that was lost.
func (c *Client) readError(x context.Context, err error) error {
	cause := context.Cause(x)
	var e *Error
	if errors.As(cause, &e) {
		return e
	}
	if cause != nil {
		return c.newError(Ended, cause)
	}
	return c.newError(Lost, err)
}

func (c *Client) readRefusal(w *http.Response) error {
	defer w.Body.Close()
	b, err := io.ReadAll(io.LimitReader(w.Body, answerLimitBytes))
	if err != nil {
		return c.newError(Lost, err)
	}
	var v tlwire.EngineError
	err = json.Unmarshal(b, &v)
	if err != nil {
		e := c.newError(Malformed, fmt.Errorf("status %d: %w", w.StatusCode, err))
		e.Status = w.StatusCode
		return e
	}
	e := c.newError(Refused, errors.New(v.Message))
	e.Status, e.Reason = w.StatusCode, v.Reason
	return e
}

// callJSON makes one call and decodes the whole response body as one JSON value.
func callJSON[T any](x context.Context, c *Client, method string, a netip.AddrPort, path string, body any) (T, error) {
	var v T
	w, err := c.send(x, method, a, path, body)
	if err != nil {
		return v, err
	}
	defer w.Body.Close()
	b, err := io.ReadAll(io.LimitReader(w.Body, answerLimitBytes))
	if err != nil {
		return v, c.readError(x, err)
	}
	err = json.Unmarshal(b, &v)
	if err != nil {
		return v, c.newError(Malformed, err)
	}
	return v, nil
}

// detachableContext returns a context that is cancelled with its parent until
// detach is called, its cancel function, and detach.
func detachableContext(x context.Context) (context.Context, context.CancelCauseFunc, func() bool) {
	y, stop := context.WithCancelCause(context.WithoutCancel(x))
	detach := context.AfterFunc(x, func() { stop(context.Cause(x)) })
	return y, stop, detach
}

// withCallTimeout returns a context bounded by Options.CallTimeout.
func (c *Client) withCallTimeout(x context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(x, c.options.CallTimeout)
}

// newStallError counts a stall and returns the error for no progress within d.
func (c *Client) newStallError(counter string, d time.Duration) *Error {
	c.options.Count(counter, 1)
	return &Error{
		Cause:   Stalled,
		Verdict: causes[Stalled].verdict,
		Err:     fmt.Errorf("nothing came for %s", d),
	}
}
