package tlmember

import "time"

// Timeouts sets how long a view waits before it suspects an instance and counts it as gone.
type Timeouts struct {
	// SuspectAfter is the silence after which a watched instance is suspected.
	SuspectAfter time.Duration
	// GoneAfter is how long an instance is suspected before it counts as gone.
	GoneAfter time.Duration
}
