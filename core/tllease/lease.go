package tllease

import "time"

// MaxDuration bounds how long a lease lasts without being renewed.
const MaxDuration = 5 * time.Minute

// Lease is the right of one instance to drive a group.
type Lease struct {
	Group       string
	Instance    string
	Incarnation uint64
	// Fence is the fencing number.
	Fence uint64
	// Until is the log's time at which it lapses.
	Until time.Time
}

// IsLive says whether the lease has not lapsed at a time of the log's clock.
func (l Lease) IsLive(now time.Time) bool {
	return l.Fence != 0 && !now.After(l.Until)
}

// HolderDeadline returns until when, by its own clock, a holder may give orders under
// a lease that it asked for at a time: it lasts from the record on, which came
// later, and margin is left for what is already on its way.
func HolderDeadline(asked time.Time, d, margin time.Duration) time.Time {
	return asked.Add(min(d, MaxDuration) - margin)
}
