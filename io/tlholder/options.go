package tlholder

import (
	"context"
	"time"

	"trefoillanding/core/tlwire"
)

// Stream is the name of the log's stream that holds the leases.
const Stream = "leases"

// Options is what a holder needs from its surroundings.
type Options struct {
	// Name is the instance.
	Name string
	// Incarnation is its incarnation.
	Incarnation uint64
	// Append appends records to a stream and returns the first one's offset.
	Append func(ctx context.Context, stream string, records [][]byte) (uint64, error)
	// Read reads from an offset of a stream on.
	Read func(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (tlwire.ReadResult, error)
	// OldestOffset returns the oldest offset kept, where an error of Read says that
	// the offset asked for is not.
	OldestOffset func(err error) (uint64, bool)
	// Duration is how long a lease lasts.
	Duration time.Duration
	// Margin is kept between the last act under a lease and its end.
	Margin time.Duration
	// Now is the clock.
	Now func() time.Time
	// Nonce returns a new number each time.
	Nonce func() uint64
	// Add raises the counter of a reason in CounterNames by n.
	Add func(reason string, n int64)
}

// The counters of leases.
const (
	countTaken     = "Taken"
	countRenewed   = "Renewed"
	countReleased  = "Released"
	countElsewhere = "HeldElsewhere"
	countLost      = "AppendFailed"
	countRaced     = "RaceLost"
	countRead      = "ReadFailed"
)

// CounterNames lists the counters of leases.
var CounterNames = []string{
	countTaken, countRenewed, countReleased, countElsewhere, countLost, countRaced, countRead,
}
