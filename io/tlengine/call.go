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

// answerLimit is the longest answer that is read into memory, in bytes.
const answerLimit = 16 << 20

// send makes one call and returns an answer whose status is no refusal.
func (c *Client) send(x context.Context, method string, a netip.AddrPort, path string, body any) (*http.Response, error) {
	b := []byte{}
	if body != nil {
		var err error
		b, err = json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode call: %w", err)
		}
	}
	r, err := http.NewRequestWithContext(x, method, "http://"+a.String()+path, bytes.NewReader(b))
	if err != nil {
		return nil, fmt.Errorf("make call: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	w, err := c.service.DoRequest(r)
	if err != nil {
		return nil, c.sendError(x, err)
	}
	if w.StatusCode >= http.StatusMultipleChoices {
		return nil, c.refusal(w)
	}
	return w, nil
}

// sendError tells a call that can't have arrived from one that may have.
func (c *Client) sendError(x context.Context, err error) error {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return c.fail(Unreachable, err)
	}
	return c.readError(x, err)
}

// readError tells the end of a caller's context from that of a connection.
func (c *Client) readError(x context.Context, err error) error {
	cause := context.Cause(x)
	var e *Error
	if errors.As(cause, &e) {
		return e
	}
	if cause != nil {
		return c.fail(Ended, cause)
	}
	return c.fail(Lost, err)
}

func (c *Client) refusal(w *http.Response) error {
	defer w.Body.Close()
	b, err := io.ReadAll(io.LimitReader(w.Body, answerLimit))
	if err != nil {
		return c.fail(Lost, err)
	}
	var v tlwire.EngineError
	err = json.Unmarshal(b, &v)
	if err != nil {
		e := c.fail(Malformed, fmt.Errorf("status %d: %w", w.StatusCode, err))
		e.Status = w.StatusCode
		return e
	}
	e := c.fail(Refused, errors.New(v.Message))
	e.Status, e.Reason = w.StatusCode, v.Reason
	return e
}

// ask makes one call whose whole answer is one value.
func ask[T any](x context.Context, c *Client, method string, a netip.AddrPort, path string, body any) (T, error) {
	var v T
	w, err := c.send(x, method, a, path, body)
	if err != nil {
		return v, err
	}
	defer w.Body.Close()
	b, err := io.ReadAll(io.LimitReader(w.Body, answerLimit))
	if err != nil {
		return v, c.readError(x, err)
	}
	err = json.Unmarshal(b, &v)
	if err != nil {
		return v, c.fail(Malformed, err)
	}
	return v, nil
}

// detachable returns a context that ends with its parent until it is detached.
func detachable(x context.Context) (context.Context, context.CancelCauseFunc, func() bool) {
	y, stop := context.WithCancelCause(context.WithoutCancel(x))
	detach := context.AfterFunc(x, func() { stop(context.Cause(x)) })
	return y, stop, detach
}

// short bounds a short call.
func (c *Client) short(x context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(x, c.options.CallTimeout)
}

// stalled ends a context for lack of progress.
func (c *Client) stalled(counter string, d time.Duration) *Error {
	c.options.Count(counter, 1)
	return &Error{
		Cause:   Stalled,
		Verdict: kinds[Stalled].verdict,
		Err:     fmt.Errorf("nothing came for %s", d),
	}
}
