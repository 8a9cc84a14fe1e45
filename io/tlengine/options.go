package tlengine

import "time"

// Options tunes a client.
type Options struct {
	// DialTimeout bounds the set-up of a connection.
	DialTimeout time.Duration
	// CallTimeout bounds a short call such as a load report or a cancel.
	CallTimeout time.Duration
	// ImportStallTimeout is how long an import may bring no bytes.
	ImportStallTimeout time.Duration
	// TokenStallTimeout is how long a reader may wait for one token.
	TokenStallTimeout time.Duration
	// CheckOwnershipAfter is the gap between two tokens after which a reader, which may have
	// been paused, asks the engine whether the stream is still its own.
	CheckOwnershipAfter time.Duration
	// CancelWorkers is how many cancels run at once.
	CancelWorkers int
	// CancelsPerEngine is how many of them run at one engine.
	CancelsPerEngine int
	// CancelBackoffBase is the delay before a cancel is first repeated.
	CancelBackoffBase time.Duration
	// CancelBackoffMax is the longest delay between two tries of a cancel.
	CancelBackoffMax time.Duration
	// CancelTimeout is how long a cancel is repeated; the sweep of orphans finds the rest.
	CancelTimeout time.Duration
	// Seed starts the jitter of the delays.
	Seed uint64
	// Count raises a counter.
	Count func(name string, n int64)
}

// NewOptions returns the usual options; the counters go nowhere.
func NewOptions() Options {
	return Options{
		DialTimeout:         500 * time.Millisecond,
		CallTimeout:         time.Second,
		ImportStallTimeout:  250 * time.Millisecond,
		TokenStallTimeout:   2 * time.Second,
		CheckOwnershipAfter: time.Second,
		CancelWorkers:       16,
		CancelsPerEngine:    4,
		CancelBackoffBase:    20 * time.Millisecond,
		CancelBackoffMax:    time.Second,
		CancelTimeout:       time.Minute,
		Seed:                1,
		Count:               func(string, int64) {},
	}
}
