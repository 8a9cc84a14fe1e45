package tlfleet

import "time"

// Limits bounds how much of a pool may change at the same time.
type Limits struct {
	// MaxLoading is the largest number of models that may be loading in a pool.
	MaxLoading int
	// UnloadAfter is how long a model stays loaded after it is no longer declared,
	// so that its streams can end.
	UnloadAfter time.Duration
}

// DefaultLimits returns limits for a pool of about ten engines.
func DefaultLimits() Limits {
	return Limits{MaxLoading: 2, UnloadAfter: 2 * time.Minute}
}
