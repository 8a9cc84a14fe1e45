package tlengine

import "time"

// Options tunes a client.
type Options struct {
	// DialTimeout bounds the set-up of a connection.
	DialTimeout time.Duration
	// CallTimeout bounds a short call such as a load report or a cancel.
	CallTimeout time.Duration
	// ImportStall is how long an import may bring no bytes.
	ImportStall time.Duration
	// TokenStall is how long a reader may wait for one token.
	TokenStall time.Duration
	// VerifyAfter is the gap between two tokens after which a reader, which may have
	// been paused, asks the engine whether the stream is still its own.
	VerifyAfter time.Duration
	// CancelWorkers is how many cancels run at once.
	CancelWorkers int
	// CancelsPerEngine is how many of them run at one engine.
	CancelsPerEngine int
	// CancelBase is the delay before a cancel is first repeated.
	CancelBase time.Duration
	// CancelMost is the longest delay between two tries of a cancel.
	CancelMost time.Duration
	// CancelFor is how long a cancel is repeated; the sweep of orphans finds the rest.
	CancelFor time.Duration
	// Seed starts the jitter of the delays.
	Seed uint64
	// Count raises a counter.
	Count func(name string, n int64)
}

// NewOptions returns the usual options; the counters go nowhere.
func NewOptions() Options {
	return Options{
		DialTimeout:      500 * time.Millisecond,
		CallTimeout:      time.Second,
		ImportStall:      250 * time.Millisecond,
		TokenStall:       2 * time.Second,
		VerifyAfter:      time.Second,
		CancelWorkers:    16,
		CancelsPerEngine: 4,
		CancelBase:       20 * time.Millisecond,
		CancelMost:       time.Second,
		CancelFor:        time.Minute,
		Seed:             1,
		Count:            func(string, int64) {},
	}
}
