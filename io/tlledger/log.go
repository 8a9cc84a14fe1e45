package tlledger

import (
	"context"
	"time"

	"trefoillanding/core/tlwire"
)

// Log gives access to the platform's log through a client.
type Log struct {
	// Append appends records in one step and returns the offset of the first.
	Append func(ctx context.Context, stream string, records [][]byte) (uint64, error)
	// Read reads records from an offset on; if there are none yet, it waits for the first.
	Read func(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (tlwire.ReadResult, error)
	// Count adds n to a counter.
	Count func(name string, n int64)
}

// backoff returns the delay before the next try after n consecutive failures.
func backoff(n int) time.Duration {
	const first, most = 20 * time.Millisecond, time.Second
	if n > 6 {
		return most
	}
	return min(first<<n, most)
}

// noteBackoff returns the delay before a note is sent again after n tries; it starts
// short because the key is neither free nor answered until the note is in the log.
func noteBackoff(n int) time.Duration {
	const first, most = 50 * time.Millisecond, 8 * time.Second
	if n > 8 {
		return most
	}
	return min(first<<n, most)
}

// sleep waits for d and reports whether ctx was still active at the end.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
