package tlledger

import (
	"context"
	"time"

	"trefoillanding/core/tlwire"
)

// Log is the platform's log, as a client gives it.
type Log struct {
	// Append appends records in one step and returns the first one's offset.
	Append func(ctx context.Context, stream string, records [][]byte) (uint64, error)
	// Read reads records from an offset on, waiting for the first.
	Read func(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (tlwire.ReadResult, error)
	// Count raises a counter.
	Count func(name string, n int64)
}

// backoff returns the delay before the next try after n failures.
func backoff(n int) time.Duration {
	const first, most = 20 * time.Millisecond, time.Second
	if n > 6 {
		return most
	}
	return min(first<<n, most)
}

// noteBackoff returns the delay before the end of a claim is sent again; the
// sooner it is in the log, the sooner its key is free or answered.
func noteBackoff(n int) time.Duration {
	const first, most = 50 * time.Millisecond, 8 * time.Second
	if n > 8 {
		return most
	}
	return min(first<<n, most)
}

// sleep waits for d and says whether ctx lasted.
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
