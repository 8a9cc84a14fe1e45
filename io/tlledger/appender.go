package tlledger

import (
	"context"
	"errors"
	"time"

	"golang.org/x/time/rate"

	"trefoillanding/io/tlplatform"
)

const (
	queueRecords = 4096
	batchRecords = 512
	batchBytes   = 1 << 20
)

var errStopped = errors.New("the appender has stopped")

// Appender appends the records of many callers to one stream, many at a time.
type Appender struct {
	stream  string
	log     Log
	limiter *rate.Limiter
	delay   time.Duration
	queue   chan *pending
	carried []*pending
	health  health
	stop    context.CancelFunc
	done    chan struct{}
}

// NewAppender starts an appender that collects records for the delay before
// each append and spends from the limiter, which streams may share.
func NewAppender(stream string, l Log, limiter *rate.Limiter, delay time.Duration) *Appender {
	ctx, stop := context.WithCancel(context.Background())
	a := &Appender{
		stream:  stream,
		log:     l,
		limiter: limiter,
		delay:   delay,
		queue:   make(chan *pending, queueRecords),
		stop:    stop,
		done:    make(chan struct{}),
	}
	go a.run(ctx)
	return a
}

// Append returns the record's offset, or a NotAppendedError or MayBeAppendedError
// of tlplatform; it goes on trying until ctx ends while nothing was appended.
func (a *Appender) Append(ctx context.Context, record []byte) (uint64, error) {
	p := &pending{record: record, ctx: ctx, done: make(chan appended, 1)}
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
		return a.leave(p, ctx.Err())
	case <-a.done:
		return a.leave(p, errStopped)
	}
}

// Close stops the appender; records that wait are not appended.
func (a *Appender) Close() {
	a.stop()
	<-a.done
}

// Done is closed when the appender has ended.
func (a *Appender) Done() <-chan struct{} {
	return a.done
}

func (a *Appender) leave(p *pending, cause error) (uint64, error) {
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

// waitForWork waits for a first record and then for the delay.
func (a *Appender) waitForWork(ctx context.Context) bool {
	if len(a.carried) > 0 {
		return ctx.Err() == nil
	}
	select {
	case p := <-a.queue:
		a.carried = append(a.carried, p)
		return sleep(ctx, a.delay)
	case <-ctx.Done():
		return false
	}
}

// collect takes a batch of records whose callers still wait.
func (a *Appender) collect() []*pending {
	var batch []*pending
	size := 0
	for len(batch) < batchRecords && size < batchBytes {
		p, ok := a.take()
		if !ok {
			break
		}
		if p.send() {
			batch = append(batch, p)
			size += len(p.record)
		}
	}
	return batch
}

func (a *Appender) take() (*pending, bool) {
	if len(a.carried) > 0 {
		p := a.carried[0]
		a.carried = a.carried[1:]
		return p, true
	}
	select {
	case p := <-a.queue:
		return p, true
	default:
		return nil, false
	}
}

// flush appends a batch; false means that the batch has to be tried again.
func (a *Appender) flush(ctx context.Context, batch []*pending) bool {
	records := make([][]byte, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	begun := time.Now()
	first, err := a.log.Append(ctx, a.stream, records)
	a.noteHealth(err, time.Since(begun))
	var no *tlplatform.NotAppendedError
	if errors.As(err, &no) {
		a.log.Count(CountNotAppended, 1)
		a.carry(batch)
		return false
	}
	a.log.Count(CountAppends, 1)
	a.log.Count(CountRecords, int64(len(batch)))
	if err != nil {
		a.log.Count(CountMayBeAppended, 1)
	}
	for i, p := range batch {
		if err == nil {
			p.done <- appended{offset: first + uint64(i)}
			continue
		}
		p.done <- appended{err: err}
	}
	return true
}

func (a *Appender) noteHealth(err error, took time.Duration) {
	if a.health.note(err == nil) {
		a.log.Count(CountOutages, 1)
	}
	if err == nil && took >= slowAfter {
		a.log.Count(CountSlowAppends, 1)
	}
}

// Allow says whether an append is worth a try now, or the log is out.
func (a *Appender) Allow() bool {
	return a.health.mayTry(time.Now())
}

func (a *Appender) carry(batch []*pending) {
	for _, p := range batch {
		p.requeue()
	}
	a.carried = append(batch, a.carried...)
}
