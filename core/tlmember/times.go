package tlmember

import "time"

// Timeouts sets how long a view waits before it believes the worst.
type Timeouts struct {
	// SuspectAfter is the silence of a watched instance after which it is doubted.
	SuspectAfter time.Duration
	// GoneAfter is how long a doubt lasts before the instance counts as gone.
	GoneAfter time.Duration
}
