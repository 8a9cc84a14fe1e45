package tlledger

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlplatform"
)

var errFault = errors.New("fault injected by the test")

// fakeClock runs faster than real time, or only when it is advanced, so that retention
// and key ages pass within a test.
type fakeClock struct {
	start    time.Time
	speed    int64
	advanced *atomic.Int64
}

func newFakeClock(speed int64) fakeClock {
	return fakeClock{start: time.Now(), speed: speed, advanced: &atomic.Int64{}}
}

func (c fakeClock) now() time.Time {
	return c.start.Add(time.Since(c.start)*time.Duration(c.speed) + time.Duration(c.advanced.Load()))
}

func (c fakeClock) advance(d time.Duration) {
	c.advanced.Add(int64(d))
}

// faults are the probabilities of each kind of failure, the longest delay, and the
// retention (0 keeps everything).
type faults struct {
	notAppended, lostBefore, lostAfter, appendedLate, readFails float64
	maxDelay                                                    time.Duration
	retention                                                   time.Duration
}

// fakeLog is an in-memory log service whose faults are drawn from a seed.
type fakeLog struct {
	clock  fakeClock
	faults faults

	mu          sync.Mutex
	random      *rand.Rand
	isDown      bool
	streams     map[string]*fakeStream
	lateAppends sync.WaitGroup
	appends     int
}

type fakeStream struct {
	records  []tlwire.LogRecord
	oldest   uint64
	appended chan struct{}
}

func newFakeLog(seed uint64, c fakeClock, f faults) *fakeLog {
	return &fakeLog{clock: c, faults: f, random: rand.New(rand.NewPCG(seed, 1)), streams: map[string]*fakeStream{}}
}

func (l *fakeLog) log() Log {
	return Log{Append: l.append, Read: l.read, Count: func(string, int64) {}}
}

// chance reports whether a fault with a probability happens now.
func (l *fakeLog) chance(share float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < share
}

func (l *fakeLog) randomDuration(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.random.Int64N(int64(most)))
}

// delayAtRandom delays one call in ten by up to maxDelay.
func (l *fakeLog) delayAtRandom() {
	if l.chance(0.1) {
		time.Sleep(l.randomDuration(l.faults.maxDelay))
	}
}

func (l *fakeLog) setOutage(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isDown = on
}

func (l *fakeLog) inOutage() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isDown
}

func (l *fakeLog) append(_ context.Context, stream string, records [][]byte) (uint64, error) {
	l.delayAtRandom()
	maybe := &tlplatform.MayBeAppendedError{Stream: stream, Cause: errFault}
	switch f := l.faults; {
	case l.chance(f.notAppended):
		return 0, &tlplatform.NotAppendedError{Stream: stream, Cause: errFault}
	case l.inOutage(), l.chance(f.lostBefore):
		return 0, maybe
	case l.chance(f.appendedLate):
		d := l.randomDuration(f.maxDelay)
		l.lateAppends.Go(func() {
			time.Sleep(d)
			l.store(stream, records)
		})
		return 0, maybe
	case l.chance(f.lostAfter):
		l.store(stream, records)
		return 0, maybe
	}
	return l.store(stream, records), nil
}

func (l *fakeLog) store(stream string, records [][]byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	s := l.stream(stream)
	first := s.oldest + uint64(len(s.records))
	now := l.clock.now()
	for i, r := range records {
		s.records = append(s.records, tlwire.LogRecord{Offset: first + uint64(i), Time: now, Data: r})
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return first
}

// stream returns a stream without the records past retention; the caller holds l.mu.
func (l *fakeLog) stream(name string) *fakeStream {
	s, ok := l.streams[name]
	if !ok {
		s = &fakeStream{oldest: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	for l.faults.retention > 0 && len(s.records) > 0 && l.clock.now().Sub(s.records[0].Time) > l.faults.retention {
		s.records = s.records[1:]
		s.oldest++
	}
	return s
}

func (l *fakeLog) read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (tlwire.ReadResult, error) {
	l.delayAtRandom()
	if l.inOutage() || l.chance(l.faults.readFails) {
		return tlwire.ReadResult{}, errFault
	}
	v, grown, err := l.snapshot(stream, from, limit)
	if err != nil || len(v.Records) > 0 || wait == 0 {
		return v, err
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-grown:
	case <-t.C:
	case <-ctx.Done():
		return v, ctx.Err()
	}
	v, _, err = l.snapshot(stream, from, limit)
	return v, err
}

func (l *fakeLog) snapshot(stream string, from uint64, limit int) (tlwire.ReadResult, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	v := tlwire.ReadResult{Oldest: s.oldest, Next: s.oldest + uint64(len(s.records))}
	if from < s.oldest {
		return v, nil, &tlplatform.RetentionError{Stream: stream, From: from, Oldest: s.oldest, Next: v.Next}
	}
	if i := int(from - s.oldest); i < len(s.records) {
		v.Records = s.records[i:min(len(s.records), i+limit)]
	}
	return v, s.appended, nil
}
