package tlconfigure

import (
	"context"
	"time"

	"github.com/google/uuid"

	"trefoillanding/core/tlconfig"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

// Apply puts the files in force atomically and returns their generation. Of
// concurrent calls exactly one succeeds; the others fail with ConfigConflict.
// After ConfigUnknown the same call, with the same nonce, may safely be retried
// at any instance.
func (c *Configurer) Apply(ctx context.Context, a tlwire.ApplyCall) (uint64, error) {
	var files []tlconfig.File
	for _, f := range a.Files {
		files = append(files, tlconfig.File{Name: f.Name, Data: f.Data})
	}
	declared, err := tlconfig.Parse(files...)
	if err != nil {
		return 0, tlverdict.New(tlverdict.ConfigRejected, "%v", err)
	}
	if err := c.readToEnd(ctx); err != nil {
		return 0, tlverdict.New(tlverdict.LogUnavailable, "the log can't be read: %v", err).WithRetryAfter(time.Second)
	}
	s, known := c.state()
	if !known {
		return 0, tlverdict.New(tlverdict.LogBehind, "the configuration in force is not known here yet").WithRetryAfter(time.Second)
	}
	if g, ok := s.GenerationOf(a.Nonce); ok && a.Nonce != "" {
		return g, nil
	}
	if a.Base != 0 && a.Base != s.Generation {
		return 0, conflict(s)
	}
	change, err := s.Diff(declared.Declared)
	if err != nil {
		return 0, tlverdict.New(tlverdict.ConfigRejected, "%v", err)
	}
	if tlconfig.IsEmpty(change) {
		return s.Generation, nil
	}
	if a.Nonce == "" {
		a.Nonce = uuid.NewString()
	}
	return c.propose(ctx, s, change, a.Nonce)
}

// propose appends a proposal, retrying until the log acknowledges it, and then
// reads the log until the proposal has been applied or rejected. A second copy
// of the proposal can't be accepted as well.
func (c *Configurer) propose(ctx context.Context, s tlconfig.State, change tlwire.ConfigChange, nonce string) (uint64, error) {
	data, err := tlconfig.Proposal(s.Generation, change, c.o.Name, nonce)
	if err != nil {
		return 0, tlverdict.New(tlverdict.ConfigRejected, "%v", err)
	}
	c.o.Add(countProposed, 1)
	at, err := c.appendWithRetry(ctx, data)
	if err != nil {
		return 0, err
	}
	for {
		now, known := c.state()
		if g, ok := now.GenerationOf(nonce); ok && g == s.Generation+1 {
			return g, nil
		}
		if known && now.Offset >= at {
			return 0, conflict(now)
		}
		err := c.readToEnd(ctx)
		if reached, _ := c.nextOffset(); err == nil && reached > at {
			continue
		}
		if !c.sleep(ctx, c.o.Timing.RetryInterval) {
			return 0, tlverdict.New(tlverdict.ConfigUnknown, "the proposal is in the log, but its outcome could not be read: %v", err)
		}
	}
}

func conflict(s tlconfig.State) error {
	return tlverdict.New(tlverdict.ConfigConflict,
		"generation %d, applied through %s, came first; none of these files are in force", s.Generation, s.Author())
}

// appendWithRetry retries an append until the log acknowledges it, so that the
// record is certainly in the log even if an earlier answer was lost. It returns
// the offset of the last copy.
func (c *Configurer) appendWithRetry(ctx context.Context, data []byte) (uint64, error) {
	mayBeAppended := false
	for {
		call, cancel := context.WithTimeout(ctx, c.o.Timing.Timeout)
		at, err := c.o.Log.Append(call, data)
		cancel()
		if err == nil {
			return at, nil
		}
		c.o.Add(countAppendFailed, 1)
		mayBeAppended = mayBeAppended || !c.o.Log.NotAppended(err)
		if c.sleep(ctx, c.o.Timing.RetryInterval) {
			continue
		}
		if mayBeAppended {
			return 0, tlverdict.New(tlverdict.ConfigUnknown, "the log's answer was lost: %v", err)
		}
		return 0, tlverdict.New(tlverdict.LogUnavailable, "the log does not accept records: %v", err).WithRetryAfter(time.Second)
	}
}

// sleep waits for d; it returns false if ctx or the configurer ends first.
func (c *Configurer) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	case <-c.ctx.Done():
		return false
	}
}

// readToEnd reads the log until no more records are available.
func (c *Configurer) readToEnd(ctx context.Context) error {
	for {
		before, _ := c.nextOffset()
		if err := c.readLog(ctx, 0); err != nil {
			return err
		}
		if after, _ := c.nextOffset(); after == before && before != 0 {
			return nil
		}
	}
}
