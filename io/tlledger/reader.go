package tlledger

import (
	"context"
	"errors"
	"time"

	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlplatform"
)

const (
	maxReadRecords = 2000
	maxReadWait    = 2 * time.Second
)

// ReaderHooks are the callbacks of a Reader.
type ReaderHooks struct {
	// Apply receives records in order; Next and Oldest are the log's bounds.
	Apply func(tlwire.ReadResult)
	// Gap reports that the records before an offset were dropped before they were read.
	Gap func(oldest uint64)
}

// Reader reads one stream from an offset on and follows its end.
type Reader struct {
	stream string
	log    Log
	hooks  ReaderHooks
	next   uint64
	stop   context.CancelFunc
	done   chan struct{}
}

// NewReader starts a reader of a stream.
func NewReader(stream string, from uint64, l Log, h ReaderHooks) *Reader {
	ctx, stop := context.WithCancel(context.Background())
	r := &Reader{stream: stream, log: l, hooks: h, next: from, stop: stop, done: make(chan struct{})}
	go r.run(ctx)
	return r
}

// Close stops the reader.
func (r *Reader) Close() {
	r.stop()
	<-r.done
}

// Done is closed when the reader has stopped.
func (r *Reader) Done() <-chan struct{} {
	return r.done
}

func (r *Reader) run(ctx context.Context) {
	defer close(r.done)
	failures := 0
	wait := time.Duration(0)
	for ctx.Err() == nil {
		v, err := r.log.Read(ctx, r.stream, r.next, maxReadRecords, wait)
		if err == nil {
			failures = 0
			wait = r.deliver(v)
			continue
		}
		if r.skipGap(err) {
			continue
		}
		if ctx.Err() == nil {
			r.log.Count(CountReadFailed, 1)
		}
		failures++
		sleep(ctx, backoff(failures))
	}
}

// deliver passes records to Apply and returns how long the next read may wait.
func (r *Reader) deliver(v tlwire.ReadResult) time.Duration {
	r.hooks.Apply(v)
	if n := len(v.Records); n > 0 {
		r.next = v.Records[n-1].Offset + 1
	}
	if r.next < v.Next {
		return 0
	}
	return maxReadWait
}

// skipGap reports whether the error means that retention dropped unread records; if so,
// reading continues at the oldest record.
func (r *Reader) skipGap(err error) bool {
	var gone *tlplatform.RetentionError
	if !errors.As(err, &gone) || gone.Oldest <= r.next {
		return false
	}
	r.log.Count(CountRetentionPassed, int64(gone.Oldest-r.next))
	r.next = gone.Oldest
	r.hooks.Gap(gone.Oldest)
	return true
}
