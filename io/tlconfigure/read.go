package tlconfigure

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"trefoillanding/core/tlconfig"
	"trefoillanding/core/tlwire"
)

// The bounds of one reading and of the delay after one that failed.
const (
	readLimit  = 256
	readers    = 3
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// errShorter means that the log lost records, so that its offsets begin again;
// what is in force stays in force, and nothing can be applied.
var errShorter = errors.New("the log is shorter than it was")

// readLoop reads the log or follows a peer that does.
func (c *Configurer) readLoop() {
	c.beginWithPeers()
	failures := 0
	for c.ctx.Err() == nil {
		if c.readOnce() {
			failures = 0
			continue
		}
		delay := min(minBackoff<<min(failures, 10), maxBackoff)
		failures++
		c.pause(time.Duration(float64(delay) * (0.5 + rand.Float64()/2)))
	}
}

func (c *Configurer) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-c.ctx.Done():
	}
}

// readOnce waits for records from where this instance gets them at present, and
// falls back on the other ways; it says whether one worked.
func (c *Configurer) readOnce() bool {
	ctx, cancel := c.interruptible()
	defer cancel()
	lagsBehind := c.lag() != ""
	followed := c.followed()
	if !lagsBehind && len(followed) > 0 {
		for _, p := range followed {
			if c.follow(ctx, p, c.o.Timing.Wait) {
				return true
			}
			if ctx.Err() != nil {
				return true
			}
		}
	}
	wait := c.o.Timing.Wait
	if at, _ := c.next(); lagsBehind || at == 0 {
		wait = 0
	}
	if c.readLog(ctx, wait) == nil {
		c.keepSnapshot()
		return !lagsBehind || c.lag() == ""
	}
	if _, known := c.state(); !known {
		c.beginWithPeers()
	}
	p := c.lag()
	return p != "" && c.follow(ctx, p, 0)
}

// interruptible returns a context that ends when this instance is seen to lag behind.
func (c *Configurer) interruptible() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	c.interrupt = cancel
	c.mu.Unlock()
	return ctx, cancel
}

// followed returns the peers to ask for records, none when this instance reads the log.
func (c *Configurer) followed() []string {
	if _, known := c.state(); !known {
		return nil
	}
	chosen := c.o.Gossip.Chosen("config", c.o.DataCentre, readers)
	if slices.Contains(chosen, c.o.Name) || len(chosen) == 0 {
		return nil
	}
	start := int(hash(c.o.Name) % uint64(len(chosen)))
	return append(slices.Clone(chosen[start:]), chosen[:start]...)
}

// lag returns a peer that has had a newer generation for longer than may be.
func (c *Configurer) lag() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heard.generation <= c.fold.State().Generation {
		return ""
	}
	if c.o.Now().Sub(c.heard.at) < c.o.Timing.LagAfter {
		return ""
	}
	return c.heard.from
}

// lagLoop interrupts a reading that waits while this instance lags behind.
func (c *Configurer) lagLoop() {
	t := time.NewTicker(c.o.Timing.LagAfter / 2)
	defer t.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-t.C:
		}
		if c.lag() == "" {
			continue
		}
		c.o.Add(countLagging, 1)
		c.mu.Lock()
		interrupt := c.interrupt
		c.mu.Unlock()
		if interrupt != nil {
			interrupt()
		}
	}
}

// readLog reads once from the log and folds what comes.
func (c *Configurer) readLog(ctx context.Context, wait time.Duration) error {
	at, _ := c.next()
	ctx, cancel := context.WithTimeout(ctx, wait+c.o.Timing.Timeout)
	defer cancel()
	c.o.Add(countLogRead, 1)
	r, err := c.o.Log.Read(ctx, max(at, 1), readLimit, wait)
	if err == nil && r.Next < at {
		c.o.Add(countShorter, 1)
		return errShorter
	}
	if err == nil {
		if at == 0 {
			c.begin(1)
		}
		c.take(r.Records)
		c.markCurrent(0)
		return nil
	}
	if oldest, ok := c.o.Log.OldestRetained(err); ok {
		c.o.Add(countRetention, 1)
		c.begin(oldest)
		return nil
	}
	c.o.Add(countLogFailed, 1)
	return err
}

func (c *Configurer) begin(at uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fold.StartAt(at)
}

// keepSnapshot appends a snapshot when one is due and this instance is the one to do it.
func (c *Configurer) keepSnapshot() {
	now := c.o.Now()
	c.mu.Lock()
	due := c.fold.SnapshotDue(now, c.o.Timing.SnapshotChanges, c.o.Timing.SnapshotEvery)
	due = due && now.Sub(c.snapshot) > c.o.Timing.Timeout
	s := c.fold.State()
	if due {
		c.snapshot = now
	}
	c.mu.Unlock()
	if !due || !slices.Contains(c.o.Gossip.Chosen("config-snapshot", "", 1), c.o.Name) {
		return
	}
	data, err := tlconfig.Snapshot(s)
	if err != nil {
		c.o.Logger.WithError(err).Error("can't encode a snapshot of the configuration")
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.o.Timing.Timeout)
	defer cancel()
	if _, err := c.o.Log.Append(ctx, data); err != nil {
		c.o.Add(countAppendFailed, 1)
		return
	}
	c.o.Add(countSnapshot, 1)
}

// beginWithPeers asks some peers for their state, so that a new instance does
// not depend on the log alone.
func (c *Configurer) beginWithPeers() {
	asked := c.o.Gossip.Chosen("config", c.o.DataCentre, readers+1)
	for _, p := range asked {
		if p != c.o.Name {
			c.follow(c.ctx, p, 0)
		}
	}
}

func passed(records []tlwire.LogRecord) []tlwire.PassedRecord {
	var out []tlwire.PassedRecord
	for _, r := range records {
		out = append(out, tlwire.PassedRecord(r))
	}
	return out
}
