package tlconfigure

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlconfig"
	"trefoillanding/core/tlwire"
)

// Limits of one read, and of the backoff after a failed one.
const (
	maxRecordsPerRead    = 256
	readersPerDataCentre = 3
	minBackoff           = 50 * time.Millisecond
	maxBackoff           = 2 * time.Second
)

// errLogTruncated means that the log lost records, so that it assigns offsets
// again that it has used before; the configuration in force stays, and nothing
// can be applied.
var errLogTruncated = errors.New("the log is shorter than it was")

// readLoop reads the log or follows a peer that does, with backoff after failures.
func (c *Configurer) readLoop() {
	c.bootstrapFromPeers()
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

// readOnce waits for records from the current source, a peer or the log, and
// falls back to the other one; it reports whether a source worked.
func (c *Configurer) readOnce() bool {
	ctx, cancel := c.readContext()
	defer cancel()
	isLagging := c.newerPeer() != ""
	peers := c.peersToFollow()
	if !isLagging && len(peers) > 0 {
		for _, p := range peers {
			if c.follow(ctx, p, c.o.Timing.LongPollWait) {
				return true
			}
			if ctx.Err() != nil {
				return true
			}
		}
	}
	wait := c.o.Timing.LongPollWait
	if at, _ := c.nextOffset(); isLagging || at == 0 {
		wait = 0
	}
	if c.readLog(ctx, wait) == nil {
		c.appendSnapshotIfDue()
		return !isLagging || c.newerPeer() == ""
	}
	if _, known := c.state(); !known {
		c.bootstrapFromPeers()
	}
	p := c.newerPeer()
	return p != "" && c.follow(ctx, p, 0)
}

// readContext returns a context that lagLoop cancels when this instance lags
// behind.
func (c *Configurer) readContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	c.cancelRead = cancel
	c.mu.Unlock()
	return ctx, cancel
}

// peersToFollow returns the peers to ask for records, in order of preference, or
// none if this instance reads the log itself.
func (c *Configurer) peersToFollow() []string {
	if _, known := c.state(); !known {
		return nil
	}
	chosen := c.o.Gossip.Chosen("config", c.o.DataCentre, readersPerDataCentre)
	if slices.Contains(chosen, c.o.Name) || len(chosen) == 0 {
		return nil
	}
	start := int(hash(c.o.Name) % uint64(len(chosen)))
	return append(slices.Clone(chosen[start:]), chosen[:start]...)
}

// newerPeer returns a peer that has had a newer generation for at least
// LagTolerance, or "".
func (c *Configurer) newerPeer() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newestPeer.generation <= c.machine.State().Generation {
		return ""
	}
	if c.o.Now().Sub(c.newestPeer.seenAt) < c.o.Timing.LagTolerance {
		return ""
	}
	return c.newestPeer.name
}

// lagLoop cancels a waiting read when this instance lags behind.
func (c *Configurer) lagLoop() {
	t := time.NewTicker(c.o.Timing.LagTolerance / 2)
	defer t.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-t.C:
		}
		if c.newerPeer() == "" {
			continue
		}
		c.o.Add(countLagging, 1)
		c.mu.Lock()
		cancel := c.cancelRead
		c.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	}
}

// readLog reads once from the log and applies the records.
func (c *Configurer) readLog(ctx context.Context, wait time.Duration) error {
	at, _ := c.nextOffset()
	ctx, cancel := context.WithTimeout(ctx, wait+c.o.Timing.Timeout)
	defer cancel()
	c.o.Add(countLogRead, 1)
	r, err := c.o.Log.Read(ctx, max(at, 1), maxRecordsPerRead, wait)
	if err == nil && r.Next < at {
		c.o.Add(countLogTruncated, 1)
		return errLogTruncated
	}
	if err == nil {
		if at == 0 {
			c.startAt(1)
		}
		c.applyRecords(r.Records)
		c.markCurrent(0)
		return nil
	}
	if oldest, ok := c.o.Log.OldestRetained(err); ok {
		c.o.Add(countOffsetExpired, 1)
		c.startAt(oldest)
		return nil
	}
	c.o.Add(countLogFailed, 1)
	return err
}

func (c *Configurer) startAt(at uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.StartAt(at)
}

// appendSnapshotIfDue appends a snapshot if one is due and this instance is the
// one chosen to append it.
func (c *Configurer) appendSnapshotIfDue() {
	now := c.o.Now()
	c.mu.Lock()
	due := c.machine.SnapshotDue(now, c.o.Timing.SnapshotMaxChanges, c.o.Timing.SnapshotInterval)
	due = due && now.Sub(c.snapshotTriedAt) > c.o.Timing.Timeout
	s := c.machine.State()
	if due {
		c.snapshotTriedAt = now
	}
	c.mu.Unlock()
	if !due || !slices.Contains(c.o.Gossip.Chosen("config-snapshot", "", 1), c.o.Name) {
		return
	}
	data, err := tlconfig.Snapshot(s)
	if err != nil {
		c.o.Logger.WithError(err).Error("cannot encode a snapshot of the configuration")
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.o.Timing.Timeout)
	defer cancel()
	at, err := c.o.Log.Append(ctx, data)
	if err != nil {
		c.o.Add(countAppendFailed, 1)
		return
	}
	if at <= s.Offset {
		c.o.Add(countLogTruncated, 1)
		c.o.Logger.WithFields(logrus.Fields{"Offset": at, "Applied": s.Offset, "Generation": s.Generation}).
			Error("the log lost records: a snapshot was appended before the last record applied")
		return
	}
	c.o.Add(countSnapshot, 1)
}

// bootstrapFromPeers asks some peers for their state, so that a new instance does
// not depend on the log alone.
func (c *Configurer) bootstrapFromPeers() {
	peers := c.o.Gossip.Chosen("config", c.o.DataCentre, readersPerDataCentre+1)
	for _, p := range peers {
		if p != c.o.Name {
			c.follow(c.ctx, p, 0)
		}
	}
}

func passedRecords(records []tlwire.LogRecord) []tlwire.PassedRecord {
	var out []tlwire.PassedRecord
	for _, r := range records {
		out = append(out, tlwire.PassedRecord(r))
	}
	return out
}
