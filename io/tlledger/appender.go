package tlledger

import (
	"context"
	"errors"
	"time"

	"golang.org/x/time/rate"

	"trefoillanding/io/tlplatform"
)

const (
	maxQueuedRecords = 4096
	maxBatchRecords  = 512
	maxBatchBytes    = 1 << 20
)

var errStopped = errors.New("the appender has stopped")

// Appender appends the records of many callers to one stream in batches.
type Appender struct {
	stream  string
	log     Log
	limiter *rate.Limiter
	delay   time.Duration
	queue   chan *pendingAppend
	unsent  []*pendingAppend
	breaker circuitBreaker
	stop    context.CancelFunc
	done    chan struct{}
}

// NewAppender starts an appender that collects records for the delay before each
// append and takes one token of the limiter for it; streams may share the limiter.
func NewAppender(stream string, l Log, limiter *rate.Limiter, delay time.Duration) *Appender {
	ctx, stop := context.WithCancel(context.Background())
	a := &Appender{
		stream:  stream,
		log:     l,
		limiter: limiter,
		delay:   delay,
		queue:   make(chan *pendingAppend, maxQueuedRecords),
		stop:    stop,
		done:    make(chan struct{}),
	}
	go a.run(ctx)
	return a
}

// Append returns the record's offset, or a NotAppendedError or MayBeAppendedError
// of tlplatform; as long as nothing was appended, it retries until ctx ends.
func (a *Appender) Append(ctx context.Context, record []byte) (uint64, error) {
	p := &pendingAppend{record: record, ctx: ctx, done: make(chan appendResult, 1)}
	select {
	case a.queue <- p:
	case <-ctx.Done():
		return 0, a.notAppended(ctx.Err())
	case <-a.done:
		return 0, a.notAppended(errStopped)
	}
	select {
	case r := <-p.done:
		return r.offset, r.err
	case <-ctx.Done():
		return a.abandon(p, ctx.Err())
	case <-a.done:
		return a.abandon(p, errStopped)
	}
}

// Close stops the appender; queued records are not appended.
func (a *Appender) Close() {
	a.stop()
	<-a.done
}

// Done is closed when the appender has stopped.
func (a *Appender) Done() <-chan struct{} {
	return a.done
}

func (a *Appender) abandon(p *pendingAppend, cause error) (uint64, error) {
	if p.withdraw() {
		return 0, a.notAppended(cause)
	}
	select {
	case r := <-p.done:
		return r.offset, r.err
	default:
		return 0, &tlplatform.MayBeAppendedError{Stream: a.stream, Cause: cause}
	}
}

func (a *Appender) notAppended(cause error) error {
	return &tlplatform.NotAppendedError{Stream: a.stream, Cause: cause}
}

func (a *Appender) run(ctx context.Context) {
	defer close(a.done)
	failures := 0
	for a.waitForWork(ctx) {
		if a.limiter.Wait(ctx) != nil {
			return
		}
		batch := a.collect()
		if len(batch) == 0 {
			continue
		}
		if a.flush(ctx, batch) {
			failures = 0
			continue
		}
		failures++
		if !sleep(ctx, backoff(failures)) {
			return
		}
	}
}

// waitForWork waits for the first record of a batch and then for the batch delay.
func (a *Appender) waitForWork(ctx context.Context) bool {
	if len(a.unsent) > 0 {
		return ctx.Err() == nil
	}
	select {
	case p := <-a.queue:
		a.unsent = append(a.unsent, p)
		return sleep(ctx, a.delay)
	case <-ctx.Done():
		return false
	}
}

// collect returns a batch of records whose callers are still waiting.
func (a *Appender) collect() []*pendingAppend {
	var batch []*pendingAppend
	size := 0
	for len(batch) < maxBatchRecords && size < maxBatchBytes {
		p, ok := a.take()
		if !ok {
			break
		}
		if p.markSent() {
			batch = append(batch, p)
			size += len(p.record)
		}
	}
	return batch
}

func (a *Appender) take() (*pendingAppend, bool) {
	if len(a.unsent) > 0 {
		p := a.unsent[0]
		a.unsent = a.unsent[1:]
		return p, true
	}
	select {
	case p := <-a.queue:
		return p, true
	default:
		return nil, false
	}
}

// flush appends a batch; false means that nothing was appended and the batch must be
// retried.
func (a *Appender) flush(ctx context.Context, batch []*pendingAppend) bool {
	records := make([][]byte, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	begun := time.Now()
	first, err := a.log.Append(ctx, a.stream, records)
	a.recordResult(err, time.Since(begun))
	var no *tlplatform.NotAppendedError
	if errors.As(err, &no) {
		a.log.Count(CountNotAppended, 1)
		a.putBack(batch)
		return false
	}
	a.log.Count(CountAppends, 1)
	a.log.Count(CountRecords, int64(len(batch)))
	if err != nil {
		a.log.Count(CountMayBeAppended, 1)
	}
	for i, p := range batch {
		if err == nil {
			p.done <- appendResult{offset: first + uint64(i)}
			continue
		}
		p.done <- appendResult{err: err}
	}
	return true
}

func (a *Appender) recordResult(err error, took time.Duration) {
	if a.breaker.record(err == nil) {
		a.log.Count(CountOutages, 1)
	}
	if err == nil && took >= slowAppendThreshold {
		a.log.Count(CountSlowAppends, 1)
	}
}

// Allow reports whether an append may be tried now; during an outage of the log only
// probes are allowed.
func (a *Appender) Allow() bool {
	return a.breaker.allow(time.Now())
}

func (a *Appender) putBack(batch []*pendingAppend) {
	for _, p := range batch {
		p.requeue()
	}
	a.unsent = append(batch, a.unsent...)
}
