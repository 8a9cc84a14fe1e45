package tlconfigure

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlconfig"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
)

// Stream is the name of the log's stream that holds the configuration.
const Stream = "config"

// Log reaches the configuration's stream of the platform's log.
type Log struct {
	// Append appends a record and returns its offset.
	Append func(ctx context.Context, record []byte) (uint64, error)
	// Read reads from an offset on, waiting for the first record.
	Read func(ctx context.Context, from uint64, limit int, wait time.Duration) (tlwire.ReadResult, error)
	// OldestRetained returns the oldest offset kept, where an error of Read says that
	// the offset asked for is not.
	OldestRetained func(err error) (uint64, bool)
	// NotAppended says that an error of Append proves that nothing was appended.
	NotAppended func(err error) bool
}

// Options is what a configurer needs from its surroundings.
type Options struct {
	// Name is the instance.
	Name string
	// DataCentre is where it stands.
	DataCentre string
	// Log is the configuration's stream.
	Log Log
	// Mesh reaches the other instances; it has not been started yet.
	Mesh *tlpeer.Mesh
	// Gossip knows which instances are live.
	Gossip *tlpeer.Gossip
	// Timing sets how long things may take.
	Timing Timing
	// OnChange is told of each generation that comes into force, in order; ones
	// that are replaced at once may be left out.
	OnChange func(generation uint64, c *tlconfig.Config)
	// Now is the clock.
	Now func() time.Time
	// Logger takes changes of state.
	Logger *logrus.Entry
	// Add raises the counter of a reason in CounterNames by n.
	Add func(reason string, n int64)
}

// Timing sets how long things may take.
type Timing struct {
	// Wait is how long a reading waits for the next record.
	Wait time.Duration
	// Timeout bounds one call beyond the time that it waits.
	Timeout time.Duration
	// Retry is the time between two tries to append.
	Retry time.Duration
	// LagAfter is how long a generation may be known elsewhere and not here
	// before the log is read directly.
	LagAfter time.Duration
	// SnapshotEvery is the longest time between snapshots; it must be well
	// below the time that the log keeps records.
	SnapshotEvery time.Duration
	// SnapshotChanges is the most changes between snapshots.
	SnapshotChanges int
}

// DefaultTiming returns times for a log that keeps its records for an hour or more.
func DefaultTiming() Timing {
	return Timing{
		Wait:            10 * time.Second,
		Timeout:         2 * time.Second,
		Retry:           100 * time.Millisecond,
		LagAfter:        time.Second,
		SnapshotEvery:   10 * time.Minute,
		SnapshotChanges: 256,
	}
}
