package tlsweep

import "time"

// Limits bounds how long an attempt may go on without an owner.
type Limits struct {
	// Grace is how long a decoding stream without an owner waits for a caller to resume it.
	Grace time.Duration
	// SilentTimeout is how long an owner whose connection is closed may be unreachable.
	SilentTimeout time.Duration
	// PausedTimeout is how long an owner whose connection is open may be unreachable.
	PausedTimeout time.Duration
	// AskAfter is how long an attempt that was never read waits for a reader before
	// its owner is asked, and the time before an unanswered question is repeated.
	AskAfter time.Duration
	// AskEvery is the time between two questions about the same attempt while the
	// owner answers.
	AskEvery time.Duration
}

// NewLimits returns limits in proportion to the grace period.
func NewLimits(grace time.Duration) Limits {
	return Limits{
		Grace:         grace,
		SilentTimeout: 2 * grace,
		PausedTimeout: 5 * grace,
		AskAfter:      grace,
		AskEvery:      5 * grace,
	}
}
