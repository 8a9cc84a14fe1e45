package tlengine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"

	"trefoillanding/core/tlwire"
)

var errWrongAttempt = errors.New("the engine answered for another attempt")

// Prefill computes the KV cache of a prompt and returns once the engine holds it.
func (c *Client) Prefill(x context.Context, a netip.AddrPort, r tlwire.PrefillRequest) (tlwire.PrefillResult, error) {
	v, err := callJSON[tlwire.PrefillResult](x, c, http.MethodPost, a, "/engine/prefills", r)
	if err != nil {
		return tlwire.PrefillResult{}, err
	}
	if v.Attempt != r.Attempt {
		return tlwire.PrefillResult{}, c.newError(WrongAttempt, errWrongAttempt)
	}
	return v, nil
}

// List returns what the engine holds, one element for each attempt.
func (c *Client) List(x context.Context, a netip.AddrPort) (tlwire.StreamList, error) {
	x, stop := c.withCallTimeout(x)
	defer stop()
	return callJSON[tlwire.StreamList](x, c, http.MethodGet, a, "/engine/streams", nil)
}

// Load returns the engine's load report, which lags behind its actual load.
func (c *Client) Load(x context.Context, a netip.AddrPort) (tlwire.LoadReport, error) {
	x, stop := c.withCallTimeout(x)
	defer stop()
	return callJSON[tlwire.LoadReport](x, c, http.MethodGet, a, "/engine/load", nil)
}

// CacheEvents returns the changes of the engine's prefix cache after a sequence number.
func (c *Client) CacheEvents(x context.Context, a netip.AddrPort, after uint64) (tlwire.CacheEvents, error) {
	x, stop := c.withCallTimeout(x)
	defer stop()
	p := "/engine/cache-events?After=" + strconv.FormatUint(after, 10)
	return callJSON[tlwire.CacheEvents](x, c, http.MethodGet, a, p, nil)
}

// Order asks the engine to change what it runs, such as its role or a model.
func (c *Client) Order(x context.Context, a netip.AddrPort, o tlwire.Order) error {
	x, stop := c.withCallTimeout(x)
	defer stop()
	w, err := c.send(x, http.MethodPost, a, "/engine/orders", o)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	// An answer that breaks may have come before the whole order was read.
	if _, err := io.Copy(io.Discard, io.LimitReader(w.Body, answerLimitBytes)); err != nil {
		return c.readError(x, err)
	}
	return nil
}

// cancelOnce sends one cancel; nil means that the engine holds nothing of the attempt any more.
func (c *Client) cancelOnce(x context.Context, t cancelTarget) error {
	x, stop := c.withCallTimeout(x)
	defer stop()
	p := "/engine/attempts/" + url.PathEscape(t.attempt)
	if t.owner != "" {
		p += "?" + url.Values{
			"Owner":       {t.owner},
			"Incarnation": {strconv.FormatUint(t.incarnation, 10)},
		}.Encode()
	}
	v, err := callJSON[tlwire.CancelResult](x, c, http.MethodDelete, t.engine, p, nil)
	if err != nil {
		return err
	}
	if v.Attempt != t.attempt {
		return c.newError(WrongAttempt, errWrongAttempt)
	}
	return nil
}
