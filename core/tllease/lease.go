package tllease

import "time"

// MaxDuration is the longest time that a lease lasts without renewal.
const MaxDuration = 5 * time.Minute

// Lease is the exclusive right of one instance to send the orders of a group.
type Lease struct {
	Group       string
	Instance    string
	Incarnation uint64
	// Fence is the fencing number.
	Fence uint64
	// Until is the log time at which the lease expires.
	Until time.Time
}

// IsLive reports whether the lease is in force at a log time.
func (l Lease) IsLive(now time.Time) bool {
	return l.Fence != 0 && !now.After(l.Until)
}

// HolderDeadline returns the time, by the holder's own clock, until which it may
// send orders under a lease that it requested at asked. This is safe because the
// lease runs from its record, which is later; margin allows for orders in flight.
func HolderDeadline(asked time.Time, d, margin time.Duration) time.Time {
	return asked.Add(min(d, MaxDuration) - margin)
}
