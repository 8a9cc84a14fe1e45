package tlconfigure

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlconfig"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
)

// Stream is the name of the log stream that holds the configuration.
const Stream = "config"

// Log gives access to the configuration stream of the platform's log.
type Log struct {
	// Append appends a record and returns its offset.
	Append func(ctx context.Context, record []byte) (uint64, error)
	// Read returns at most limit records from an offset on, and waits up to
	// wait for the first.
	Read func(ctx context.Context, from uint64, limit int, wait time.Duration) (tlwire.ReadResult, error)
	// OldestRetained returns the oldest retained offset if an error of Read says
	// that the requested offset is no longer retained.
	OldestRetained func(err error) (uint64, bool)
	// NotAppended reports whether an error of Append proves that nothing was
	// appended.
	NotAppended func(err error) bool
}

// Options holds the settings and dependencies of a configurer.
type Options struct {
	// Name is the name of the instance.
	Name string
	// DataCentre is the instance's data centre.
	DataCentre string
	// Log is the configuration stream.
	Log Log
	// Mesh connects to the other instances; it must not have been started.
	Mesh *tlpeer.Mesh
	// Gossip provides the live instances.
	Gossip *tlpeer.Gossip
	// Timing sets timeouts and intervals.
	Timing Timing
	// OnChange is called with each generation that comes into force, in order;
	// a generation that is replaced before the call may be skipped.
	OnChange func(generation uint64, c *tlconfig.Config)
	// Now returns the current time.
	Now func() time.Time
	// Logger receives generations that come into force, and errors.
	Logger *logrus.Entry
	// Add increases the counter of a reason in CounterNames by n.
	Add func(reason string, n int64)
}

// Timing holds the timeouts and intervals of a configurer.
type Timing struct {
	// LongPollWait is how long a read waits for the next record.
	LongPollWait time.Duration
	// Timeout bounds one call, in addition to the time that the call waits for
	// records.
	Timeout time.Duration
	// RetryInterval is the delay before an append is retried, and before the
	// outcome of a proposal is read again.
	RetryInterval time.Duration
	// LagTolerance is how long a peer may have a newer generation before this
	// instance reads the log itself.
	LagTolerance time.Duration
	// SnapshotInterval is the maximum time between snapshots; it must be well
	// below the log's retention period.
	SnapshotInterval time.Duration
	// SnapshotMaxChanges is the maximum number of changes between snapshots.
	SnapshotMaxChanges int
}

// DefaultTiming returns the timing for a log that retains records for at least
// one hour.
func DefaultTiming() Timing {
	return Timing{
		LongPollWait:       10 * time.Second,
		Timeout:            2 * time.Second,
		RetryInterval:      100 * time.Millisecond,
		LagTolerance:       time.Second,
		SnapshotInterval:   10 * time.Minute,
		SnapshotMaxChanges: 256,
	}
}
