package tlengine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"

	"trefoillanding/core/tlwire"
)

// Import returns once the KV cache has arrived at the engine. It calls progress,
// which may be nil, for each progress line, and fails as Stalled when no further
// bytes arrive within Options.ImportStallTimeout.
func (c *Client) Import(
	x context.Context, a netip.AddrPort, r tlwire.ImportRequest, progress func(tlwire.ImportProgress),
) error {
	x, stop, detach := detachableContext(x)
	defer detach()
	t := time.AfterFunc(c.options.ImportStallTimeout, func() {
		stop(c.newStallError(CountImportStalled, c.options.ImportStallTimeout))
	})
	defer t.Stop()
	w, err := c.send(x, http.MethodPost, a, "/engine/imports", r)
	if err != nil {
		stop(nil)
		return err
	}
	err = c.readProgress(x, json.NewDecoder(io.LimitReader(w.Body, answerLimitBytes)), r.Attempt, t, progress)
	if err != nil {
		stop(nil)
		_ = w.Body.Close()
		return err
	}
	c.drainBody(w.Body, func() { stop(nil) })
	return nil
}

// readProgress reads progress lines until the last one and resets the stall timer
// at each that reports more bytes.
func (c *Client) readProgress(
	x context.Context, d *json.Decoder, attempt string, t *time.Timer, progress func(tlwire.ImportProgress),
) error {
	best := int64(-1)
	for {
		var p tlwire.ImportProgress
		err := d.Decode(&p)
		if err != nil {
			return c.importError(x, err)
		}
		if p.Attempt != attempt {
			c.options.Count(CountWrongAttempt, 1)
			continue
		}
		if p.Bytes > best {
			best = p.Bytes
			t.Reset(c.options.ImportStallTimeout)
		}
		if progress != nil {
			progress(p)
		}
		if p.Error != "" {
			return c.importFailed(p.Error)
		}
		if p.Done {
			return nil
		}
	}
}

func (c *Client) importError(x context.Context, err error) error {
	var s *json.SyntaxError
	var u *json.UnmarshalTypeError
	if errors.As(err, &s) || errors.As(err, &u) {
		return c.newError(Malformed, err)
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return c.readError(x, err)
}

func (c *Client) importFailed(reason string) error {
	e := c.newError(Failed, errors.New("the engine reported that the import failed"))
	e.Reason = reason
	return e
}
