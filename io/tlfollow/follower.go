package tlfollow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"trefoillanding/core/tlkeyed"
)

const (
	// shortestRetry is the pause after a first failed call.
	shortestRetry = 150 * time.Millisecond
	// freshFor is how long after an answer of the log a reader still speaks for it, beyond the wait of a read.
	freshFor = 1200 * time.Millisecond
	// longestRetry bounds the pause, which doubles with each failure: calls
	// are priced, also refused ones, and what must be known within two seconds
	// of the log's return has to be read by then.
	longestRetry = 600 * time.Millisecond
)

// Options is what a follower is made of.
type Options struct {
	// Newest returns the newest record of each key.
	Newest func(ctx context.Context) (tlkeyed.Batch, error)
	// Read returns the records from an offset on, waiting for the first as long as asked.
	Read func(ctx context.Context, from uint64, wait time.Duration) (tlkeyed.Batch, error)
	// AskPeer returns the newest record of each key as another instance knows
	// them, where that has read beyond an offset; false where none has.
	AskPeer func(ctx context.Context, from uint64) (tlkeyed.Batch, bool)
	// IsReader says whether this instance reads the log for others; one that does
	// not asks them, and reads only where they don't reach the log either.
	IsReader func() bool
	// AskReader returns what a reader has read beyond an offset, which may be
	// nothing; false where none reaches the log.
	AskReader func(ctx context.Context, from uint64) (tlkeyed.Batch, bool)
	// IsCompacted says whether an error of Read means that the records are gone.
	IsCompacted func(error) bool
	// Wait is how long a read waits for records; 0 does not wait.
	Wait time.Duration
	// Every is the time between the starts of reads.
	Every time.Duration
	// AskEvery is the least time between questions to a reader.
	AskEvery time.Duration
	// Timeout bounds a call beyond its wait.
	Timeout time.Duration
	// Reset takes in the newest record of each key in place of what was known.
	Reset func([]tlkeyed.Record)
	// Apply takes in later records.
	Apply func([]tlkeyed.Record)
	// OnLost is told of the first failure in a row.
	OnLost func(error)
	// OnRegained is told of the first success after failures, with how long they lasted.
	OnRegained func(time.Duration)
	// Now is the clock.
	Now func() time.Time
}

// Follower follows one log until its context ends.
type Follower struct {
	o      Options
	retry  time.Duration
	lostAt time.Time
	heard  atomic.Int64
	failed atomic.Int64
	fresh  atomic.Bool
	done   chan struct{}

	mu    sync.Mutex
	table *tlkeyed.Table
	// started says that the newest records have been taken in.
	started bool
}

// New returns a follower that has read nothing.
func New(o Options) *Follower {
	return &Follower{o: o, done: make(chan struct{}), table: tlkeyed.NewTable()}
}

// Done is closed when the follower has ended.
func (f *Follower) Done() <-chan struct{} {
	return f.done
}

// AnsweredAt returns when the log last answered; zero where it never did.
func (f *Follower) AnsweredAt() time.Time {
	n := f.heard.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// FailedAt returns when the log last failed to answer; zero where it never did.
func (f *Follower) FailedAt() time.Time {
	n := f.failed.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// IsFresh says whether the log, and not another instance, answered the last call, and not long ago.
func (f *Follower) IsFresh() bool {
	return f.fresh.Load() && f.o.IsReader() && f.o.Now().Sub(f.AnsweredAt()) < f.o.Wait+freshFor
}

// Snapshot returns the newest record of each key, as far as it has been read.
func (f *Follower) Snapshot() tlkeyed.Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.All()
}

func (f *Follower) isStarted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started
}

func (f *Follower) next() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Next()
}

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.done)
	for ctx.Err() == nil {
		began := f.o.Now()
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.CatchUp(ctx)
		}
		pause(ctx, f.note(began, err))
	}
}

func (f *Follower) step(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, f.o.Wait+f.o.Timeout)
	defer stop()
	if !f.isStarted() {
		return f.reset(ctx)
	}
	if !f.o.IsReader() && f.askReader(ctx) {
		return nil
	}
	b, err := f.o.Read(ctx, f.next(), f.o.Wait)
	if err != nil && f.o.IsCompacted(err) {
		return f.reset(ctx)
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.table.Apply(b)
	f.mu.Unlock()
	if len(b.Records) > 0 {
		f.o.Apply(b.Records)
	}
	return nil
}

func (f *Follower) reset(ctx context.Context) error {
	b, err := f.o.Newest(ctx)
	if err != nil {
		return err
	}
	f.adopt(b)
	return nil
}

// askReader takes in what a reader has read, and says whether one reaches the log.
func (f *Follower) askReader(ctx context.Context) bool {
	b, ok := f.o.AskReader(ctx, f.next())
	if ok {
		f.overtake(b)
	}
	return ok
}

// CatchUp takes in what another instance has read, if that is further, without
// waiting for the log, which may be away or hang on a connection gone silent.
func (f *Follower) CatchUp(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, f.o.Timeout)
	defer stop()
	if b, ok := f.o.AskPeer(ctx, f.next()); ok {
		f.overtake(b)
	}
}

// overtake takes in what another instance has read, unless this one has read as far meanwhile.
func (f *Follower) overtake(b tlkeyed.Batch) {
	if b.Next > f.next() {
		f.adopt(b)
	}
}

// adopt takes in the newest record of each key in place of what was known.
func (f *Follower) adopt(b tlkeyed.Batch) {
	f.mu.Lock()
	f.table.Reset(b)
	f.started = true
	f.mu.Unlock()
	f.o.Reset(b.Records)
}

// note takes in how a step ended and returns the pause before the next.
func (f *Follower) note(began time.Time, err error) time.Duration {
	now := f.o.Now()
	f.fresh.Store(err == nil)
	if err == nil {
		f.succeeded(now)
		return max(f.every()-now.Sub(began), 0)
	}
	f.failed.Store(now.UnixNano())
	if f.lostAt.IsZero() {
		f.lostAt = now
		f.o.OnLost(err)
	}
	f.retry = min(max(2*f.retry, shortestRetry), longestRetry)
	return f.retry
}

// every returns the time between the starts of steps: a reader's reads may
// wait for records, while questions to a reader don't.
func (f *Follower) every() time.Duration {
	if f.o.IsReader() {
		return f.o.Every
	}
	return max(f.o.Every, f.o.AskEvery)
}

func (f *Follower) succeeded(now time.Time) {
	f.retry = 0
	f.heard.Store(now.UnixNano())
	if f.lostAt.IsZero() {
		return
	}
	f.o.OnRegained(now.Sub(f.lostAt))
	f.lostAt = time.Time{}
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
