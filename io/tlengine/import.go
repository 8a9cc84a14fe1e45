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

// Import returns once the KV cache has arrived at the engine; progress, which
// may be nil, is told of every line, and lack of progress ends the import.
func (c *Client) Import(
	x context.Context, a netip.AddrPort, r tlwire.ImportRequest, progress func(tlwire.ImportProgress),
) error {
	x, stop, detach := detachable(x)
	defer detach()
	t := time.AfterFunc(c.options.ImportStallTimeout, func() {
		stop(c.stalled(CountImportStalled, c.options.ImportStallTimeout))
	})
	defer t.Stop()
	w, err := c.send(x, http.MethodPost, a, "/engine/imports", r)
	if err != nil {
		stop(nil)
		return err
	}
	err = c.follow(x, json.NewDecoder(io.LimitReader(w.Body, answerLimit)), r.Attempt, t, progress)
	if err != nil {
		stop(nil)
		_ = w.Body.Close()
		return err
	}
	c.finish(w.Body, func() { stop(nil) })
	return nil
}

// follow reads lines until the last one, and puts the timer off at each that
// tells of progress.
func (c *Client) follow(
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
			return c.gaveUp(p.Error)
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
		return c.fail(Malformed, err)
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return c.readError(x, err)
}

func (c *Client) gaveUp(reason string) error {
	e := c.fail(Failed, errors.New("the engine gave the work up"))
	e.Reason = reason
	return e
}
