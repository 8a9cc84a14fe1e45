package tlengine

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"

	"trefoillanding/core/tlwire"
)

var errOtherAttempt = errors.New("the answer belongs to another attempt")

// Prefill returns once the KV cache of a prompt is held at the engine.
func (c *Client) Prefill(x context.Context, a netip.AddrPort, r tlwire.PrefillRequest) (tlwire.PrefillResult, error) {
	v, err := ask[tlwire.PrefillResult](x, c, http.MethodPost, a, "/engine/prefills", r)
	if err != nil {
		return tlwire.PrefillResult{}, err
	}
	if v.Attempt != r.Attempt {
		return tlwire.PrefillResult{}, c.fail(WrongAttempt, errOtherAttempt)
	}
	return v, nil
}

// List returns everything that the engine holds.
func (c *Client) List(x context.Context, a netip.AddrPort) (tlwire.StreamList, error) {
	x, stop := c.short(x)
	defer stop()
	return ask[tlwire.StreamList](x, c, http.MethodGet, a, "/engine/streams", nil)
}

// Load returns the engine's lagging load report.
func (c *Client) Load(x context.Context, a netip.AddrPort) (tlwire.LoadReport, error) {
	x, stop := c.short(x)
	defer stop()
	return ask[tlwire.LoadReport](x, c, http.MethodGet, a, "/engine/load", nil)
}

// CacheEvents returns the engine's changes of its prefix cache after a sequence number.
func (c *Client) CacheEvents(x context.Context, a netip.AddrPort, after uint64) (tlwire.CacheEvents, error) {
	x, stop := c.short(x)
	defer stop()
	p := "/engine/cache-events?After=" + strconv.FormatUint(after, 10)
	return ask[tlwire.CacheEvents](x, c, http.MethodGet, a, p, nil)
}

// Order asks the engine to change what it runs.
func (c *Client) Order(x context.Context, a netip.AddrPort, o tlwire.Order) error {
	x, stop := c.short(x)
	defer stop()
	w, err := c.send(x, http.MethodPost, a, "/engine/orders", o)
	if err != nil {
		return err
	}
	return w.Body.Close()
}

// cancelOnce asks once; nil means that the engine holds nothing any more.
func (c *Client) cancelOnce(x context.Context, t target) error {
	x, stop := c.short(x)
	defer stop()
	p := "/engine/attempts/" + url.PathEscape(t.attempt)
	if t.owner != "" {
		p += "?" + url.Values{
			"Owner":       {t.owner},
			"Incarnation": {strconv.FormatUint(t.incarnation, 10)},
		}.Encode()
	}
	v, err := ask[tlwire.CancelResult](x, c, http.MethodDelete, t.engine, p, nil)
	if err != nil {
		return err
	}
	if v.Attempt != t.attempt {
		return c.fail(WrongAttempt, errOtherAttempt)
	}
	return nil
}
