package tlconfigure

import (
	"context"
	"time"

	"github.com/google/uuid"

	"trefoillanding/core/tlconfig"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

// Apply puts files in force as a whole and returns their generation. Of racing
// calls exactly one wins; the others fail with ConfigConflict. After
// ConfigUnknown the same call, with the same nonce, may safely be repeated at
// any instance.
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

// propose appends a proposal until it is known to be in the log, and reads on
// until its place is folded. A second copy of it can't win as well.
func (c *Configurer) propose(ctx context.Context, s tlconfig.State, change tlwire.ConfigChange, nonce string) (uint64, error) {
	data, err := tlconfig.Proposal(s.Generation, change, c.o.Name, nonce)
	if err != nil {
		return 0, tlverdict.New(tlverdict.ConfigRejected, "%v", err)
	}
	c.o.Add(countProposed, 1)
	at, err := c.appendSurely(ctx, data)
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
		if reached, _ := c.next(); err == nil && reached > at {
			continue
		}
		if !c.wait(ctx, c.o.Timing.Retry) {
			return 0, tlverdict.New(tlverdict.ConfigUnknown, "the proposal is in the log, but its outcome could not be read: %v", err)
		}
	}
}

func conflict(s tlconfig.State) error {
	return tlverdict.New(tlverdict.ConfigConflict,
		"generation %d, applied through %s, came first; nothing of these files is in force", s.Generation, s.Author())
}

// appendSurely appends a record until the log answers, so that an answer that
// was lost leaves no doubt; it returns the offset of the last copy.
func (c *Configurer) appendSurely(ctx context.Context, data []byte) (uint64, error) {
	mayBeThere := false
	for {
		call, cancel := context.WithTimeout(ctx, c.o.Timing.Timeout)
		at, err := c.o.Log.Append(call, data)
		cancel()
		if err == nil {
			return at, nil
		}
		c.o.Add(countAppendFailed, 1)
		mayBeThere = mayBeThere || !c.o.Log.NotAppended(err)
		if c.wait(ctx, c.o.Timing.Retry) {
			continue
		}
		if mayBeThere {
			return 0, tlverdict.New(tlverdict.ConfigUnknown, "the log's answer was lost: %v", err)
		}
		return 0, tlverdict.New(tlverdict.LogUnavailable, "the log takes no records: %v", err).WithRetryAfter(time.Second)
	}
}

// wait lets time pass; it is false when ctx has ended.
func (c *Configurer) wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	case <-c.ctx.Done():
		return false
	}
}

// readToEnd reads the log until nothing more is there.
func (c *Configurer) readToEnd(ctx context.Context) error {
	for {
		before, _ := c.next()
		if err := c.readLog(ctx, 0); err != nil {
			return err
		}
		if after, _ := c.next(); after == before && before != 0 {
			return nil
		}
	}
}
