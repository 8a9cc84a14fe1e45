package tlfleet

import "time"

// Limits bounds how much of a pool may change at once.
type Limits struct {
	// MaxLoading is the most models that may be loading in a pool.
	MaxLoading int
	// UnloadAfter is how long a model stays after it is no longer declared, so
	// that streams on it can end.
	UnloadAfter time.Duration
}

// DefaultLimits returns limits for a pool of some ten engines.
func DefaultLimits() Limits {
	return Limits{MaxLoading: 2, UnloadAfter: 2 * time.Minute}
}
