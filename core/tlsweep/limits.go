package tlsweep

import "time"

// Limits bounds how long an attempt may go on without an owner.
type Limits struct {
	// Grace is how long a stream whose owner is gone waits for a caller to resume it.
	Grace time.Duration
	// SilentTimeout is how long an owner that no longer reads may be unreachable.
	SilentTimeout time.Duration
	// PausedTimeout is how long an owner that still holds its connection may be unreachable.
	PausedTimeout time.Duration
	// AskAfter is how long an attempt may go unread before its owner is asked.
	AskAfter time.Duration
	// AskEvery is the time between two questions for the same attempt.
	AskEvery time.Duration
}

// NewLimits returns the limits that go with a grace.
func NewLimits(grace time.Duration) Limits {
	return Limits{
		Grace:         grace,
		SilentTimeout: 2 * grace,
		PausedTimeout: 5 * grace,
		AskAfter:      grace,
		AskEvery:      5 * grace,
	}
}
