package tlconfigure

import (
	"context"
	"errors"
	"time"

	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlplatform"
)

// PlatformLog returns the configuration's stream as a client of the platform reaches it.
func PlatformLog(c *tlplatform.Client) Log {
	return Log{
		Append: func(ctx context.Context, record []byte) (uint64, error) {
			return c.Append(ctx, Stream, [][]byte{record})
		},
		Read: func(ctx context.Context, from uint64, limit int, wait time.Duration) (tlwire.ReadResult, error) {
			return c.Read(ctx, Stream, from, limit, wait)
		},
		OldestRetained: func(err error) (uint64, bool) {
			var r *tlplatform.RetentionError
			if errors.As(err, &r) {
				return r.Oldest, true
			}
			return 0, false
		},
		NotAppended: func(err error) bool {
			var n *tlplatform.NotAppendedError
			return errors.As(err, &n)
		},
	}
}
