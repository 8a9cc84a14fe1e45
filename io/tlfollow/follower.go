package tlfollow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"trefoillanding/core/tlkeyed"
)

const (
	// minRetryDelay is the delay after the first failed call in a row.
	minRetryDelay = 150 * time.Millisecond
	// freshFor is how long after an answer of the log, beyond the wait of a read, a reader still vouches for the log.
	freshFor = 1200 * time.Millisecond
	// freshMargin is added to the interval of reads where that is longer than freshFor: a
	// reader that counted as stale between its reads would have all others read the log.
	freshMargin = 200 * time.Millisecond
	// maxRetryDelay bounds the delay, which doubles with each failure: every
	// call costs, refused ones included, but what must be known within 2 s of the
	// log's return has to be read by then.
	maxRetryDelay = 600 * time.Millisecond
)

// errStaleEra means that an answer was given before the log went back.
var errStaleEra = errors.New("the answer is of an earlier era of the log")

// Options configures a follower; all functions are required.
type Options struct {
	// Newest returns the newest record of each key.
	Newest func(ctx context.Context) (tlkeyed.Batch, error)
	// Read returns the records from an offset on, waiting at most the given time for the first one.
	Read func(ctx context.Context, from uint64, wait time.Duration) (tlkeyed.Batch, error)
	// AskPeer returns the newest record of each key from another instance that
	// has read beyond a position; false if none has.
	AskPeer func(ctx context.Context, from tlkeyed.Position) (tlkeyed.Batch, bool)
	// IsReader says whether this instance reads the log for others. Instances that
	// are not readers ask one, and read the log only if no reader reaches it.
	IsReader func() bool
	// AskReader returns what a reader has read beyond a position, which may be
	// nothing; false if no reader reaches the log.
	AskReader func(ctx context.Context, from tlkeyed.Position) (tlkeyed.Batch, bool)
	// IsCompacted says whether an error of Read means that the records were deleted.
	IsCompacted func(error) bool
	// Wait is how long a read waits for records; 0 means that it does not wait.
	Wait time.Duration
	// Every is the time between the starts of two reads.
	Every time.Duration
	// AskEvery is the minimum time between two calls of AskReader.
	AskEvery time.Duration
	// Timeout bounds a call, in addition to its wait.
	Timeout time.Duration
	// OnEra is called when the log has gone back, with the eras before and after, what
	// was known and what was read; it returns what to know from now on.
	OnEra func(before, after uint64, known, read []tlkeyed.Record) []tlkeyed.Record
	// Reset receives the newest record of each key, which replaces everything known.
	Reset func([]tlkeyed.Record)
	// Apply receives later records.
	Apply func([]tlkeyed.Record)
	// OnLost is called with the error of the first failure in a row.
	OnLost func(error)
	// OnRegained is called on the first success after failures with the time since the first of them.
	OnRegained func(time.Duration)
	// Now returns the current time.
	Now func() time.Time
}

// Follower follows one log until its context ends.
type Follower struct {
	o             Options
	retryDelay    time.Duration
	lostSince     time.Time
	answeredAt    atomic.Int64
	failedAt      atomic.Int64
	lastSucceeded atomic.Bool
	done          chan struct{}

	mu    sync.Mutex
	table *tlkeyed.Table
	// loaded says whether the newest record of each key has been loaded.
	loaded bool
}

// New returns a follower that has read nothing yet.
func New(o Options) *Follower {
	return &Follower{o: o, done: make(chan struct{}), table: tlkeyed.NewTable()}
}

// Done returns a channel that is closed when Run has ended.
func (f *Follower) Done() <-chan struct{} {
	return f.done
}

// AnsweredAt returns when the log, or a reader of it, last answered; zero if neither ever did.
func (f *Follower) AnsweredAt() time.Time {
	n := f.answeredAt.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// FailedAt returns when a call to the log last failed; zero if none ever did.
func (f *Follower) FailedAt() time.Time {
	n := f.failedAt.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// IsFresh says whether this instance is a reader, its last call succeeded, and the
// log answered less than Wait plus freshFor, or plus an interval of reads, ago.
func (f *Follower) IsFresh() bool {
	return f.lastSucceeded.Load() && f.o.IsReader() && f.o.Now().Sub(f.AnsweredAt()) < f.o.Wait+max(freshFor, f.o.Every+freshMargin)
}

// Snapshot returns the newest record of each key among those read so far.
func (f *Follower) Snapshot() tlkeyed.Batch {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.All()
}

func (f *Follower) isLoaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

func (f *Follower) next() tlkeyed.Position {
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
		sleep(ctx, f.finishStep(began, err))
	}
}

func (f *Follower) step(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, f.o.Wait+f.o.Timeout)
	defer stop()
	if !f.isLoaded() {
		return f.reset(ctx)
	}
	if !f.o.IsReader() && f.askReader(ctx) {
		return nil
	}
	next := f.next()
	b, err := f.o.Read(ctx, next.Offset, f.o.Wait)
	if err != nil && f.o.IsCompacted(err) {
		return f.reset(ctx)
	}
	if err != nil {
		return err
	}
	switch {
	case b.Era < next.Era:
		return errStaleEra
	case b.Era > next.Era:
		// The records at these offsets are not those that follow the ones known here.
		return f.reset(ctx)
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
	if b.Era < f.next().Era {
		return errStaleEra
	}
	f.adopt(b)
	return nil
}

// askReader adopts what a reader has read, and says whether a reader reaches the log.
func (f *Follower) askReader(ctx context.Context) bool {
	b, ok := f.o.AskReader(ctx, f.next())
	if ok {
		f.adoptIfAhead(b)
	}
	return ok
}

// CatchUp adopts what another instance has read, if that is further, without
// waiting for the log, which may be unreachable or hang on a silent connection.
func (f *Follower) CatchUp(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, f.o.Timeout)
	defer stop()
	if b, ok := f.o.AskPeer(ctx, f.next()); ok {
		f.adoptIfAhead(b)
	}
}

// adoptIfAhead adopts what another instance has read, unless this one has read as far meanwhile.
func (f *Follower) adoptIfAhead(b tlkeyed.Batch) {
	if b.Position().Compare(f.next()) > 0 {
		f.adopt(b)
	}
}

// adopt replaces everything known by the newest record of each key.
func (f *Follower) adopt(b tlkeyed.Batch) {
	f.mu.Lock()
	known := f.table.All()
	wentBack := f.loaded && b.Era > known.Era
	f.mu.Unlock()
	if wentBack {
		b.Records = f.o.OnEra(known.Era, b.Era, known.Records, b.Records)
	}
	f.mu.Lock()
	f.table.Reset(b)
	f.loaded = true
	f.mu.Unlock()
	f.o.Reset(b.Records)
}

// finishStep records the result of a step and returns the delay before the next.
func (f *Follower) finishStep(began time.Time, err error) time.Duration {
	now := f.o.Now()
	f.lastSucceeded.Store(err == nil)
	if err == nil {
		f.noteSuccess(now)
		return max(f.interval()-now.Sub(began), 0)
	}
	f.failedAt.Store(now.UnixNano())
	if f.lostSince.IsZero() {
		f.lostSince = now
		f.o.OnLost(err)
	}
	f.retryDelay = min(max(2*f.retryDelay, minRetryDelay), maxRetryDelay)
	return f.retryDelay
}

// interval returns the time between the starts of two steps. It is at least
// AskEvery for instances that ask a reader, since a question, unlike a read of
// the log, does not wait for records.
func (f *Follower) interval() time.Duration {
	if f.o.IsReader() {
		return f.o.Every
	}
	return max(f.o.Every, f.o.AskEvery)
}

func (f *Follower) noteSuccess(now time.Time) {
	f.retryDelay = 0
	f.answeredAt.Store(now.UnixNano())
	if f.lostSince.IsZero() {
		return
	}
	f.o.OnRegained(now.Sub(f.lostSince))
	f.lostSince = time.Time{}
}

func sleep(ctx context.Context, d time.Duration) {
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
