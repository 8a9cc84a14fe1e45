package tlholder

import (
	"context"
	"time"

	"trefoillanding/core/tlwire"
)

// Stream is the name of the log stream with the lease records.
const Stream = "leases"

// Options holds the settings and dependencies of a holder.
type Options struct {
	// Name is the name of the instance.
	Name string
	// Incarnation is the incarnation of the instance.
	Incarnation uint64
	// Append appends records to a stream and returns the first one's offset.
	Append func(ctx context.Context, stream string, records [][]byte) (uint64, error)
	// Read reads records of a stream, starting at an offset.
	Read func(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (tlwire.ReadResult, error)
	// OldestOffset returns the oldest offset that the log still keeps, if an error
	// of Read says that the requested offset is no longer kept.
	OldestOffset func(err error) (uint64, bool)
	// Duration is how long a lease lasts without being renewed.
	Duration time.Duration
	// Margin is the time kept between the last act under a lease and its end.
	Margin time.Duration
	// Now returns the current time.
	Now func() time.Time
	// Nonce returns a different number on each call.
	Nonce func() uint64
	// Add raises the counter of a reason in CounterNames by n.
	Add func(reason string, n int64)
}

// The counters of leases.
const (
	countTaken         = "Taken"
	countRenewed       = "Renewed"
	countReleased      = "Released"
	countHeldElsewhere = "HeldElsewhere"
	countAppendFailed  = "AppendFailed"
	countRaceLost      = "RaceLost"
	countReadFailed    = "ReadFailed"
)

// CounterNames lists the names of the lease counters.
var CounterNames = []string{
	countTaken, countRenewed, countReleased, countHeldElsewhere, countAppendFailed, countRaceLost, countReadFailed,
}
