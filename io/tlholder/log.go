package tlholder

import (
	"context"
	"time"

	"trefoillanding/core/tlwire"
)

// Stream is the name of the log's stream that holds the leases.
const Stream = "leases"

// Log reaches the stream of leases.
type Log struct {
	// Append appends a record and returns its offset.
	Append func(ctx context.Context, record []byte) (uint64, error)
	// Read reads from an offset on, waiting for the first record.
	Read func(ctx context.Context, from uint64, limit int, wait time.Duration) (tlwire.ReadResult, error)
	// Oldest returns the oldest offset kept, where an error of Read says that
	// the offset asked for is not.
	Oldest func(err error) (uint64, bool)
	// NotAppended says that an error of Append proves that nothing was appended.
	NotAppended func(err error) bool
}
