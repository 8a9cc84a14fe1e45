package tlengine

import "time"

// Options configures a Client.
type Options struct {
	// DialTimeout bounds establishing a TCP connection.
	DialTimeout time.Duration
	// CallTimeout bounds a short call such as a load report or a cancel.
	CallTimeout time.Duration
	// ImportStallTimeout is how long an import may make no progress in bytes before it fails.
	ImportStallTimeout time.Duration
	// TokenStallTimeout is how long a reader may wait for one token before its stream fails.
	TokenStallTimeout time.Duration
	// CheckOwnershipAfter is the time between two tokens after which a reader, whose process may
	// have been paused, asks the engine whether it still owns the stream; 0 disables the check.
	CheckOwnershipAfter time.Duration
	// CancelWorkers is how many cancel calls run concurrently.
	CancelWorkers int
	// CancelsPerEngine is how many cancel calls run concurrently at one engine.
	CancelsPerEngine int
	// CancelBackoffBase is the delay before the first retry of a cancel, before jitter.
	CancelBackoffBase time.Duration
	// CancelBackoffMax is the longest delay between two tries of a cancel.
	CancelBackoffMax time.Duration
	// CancelTimeout is how long a cancel is retried; the orphan sweep (io/tlorphan) cancels what is left.
	CancelTimeout time.Duration
	// Seed seeds the random jitter of the retry delays.
	Seed uint64
	// Count adds n to the counter of that name.
	Count func(name string, n int64)
}

// NewOptions returns the default options; counts are discarded.
func NewOptions() Options {
	return Options{
		DialTimeout:         500 * time.Millisecond,
		CallTimeout:         time.Second,
		ImportStallTimeout:  250 * time.Millisecond,
		TokenStallTimeout:   2 * time.Second,
		CheckOwnershipAfter: time.Second,
		CancelWorkers:       16,
		CancelsPerEngine:    4,
		CancelBackoffBase:   20 * time.Millisecond,
		CancelBackoffMax:    time.Second,
		CancelTimeout:       time.Minute,
		Seed:                1,
		Count:               func(string, int64) {},
	}
}
