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

var errFault = errors.New("switched on by the test")

// fakeClock runs faster than time, or only when it is moved, so that retention
// and key ages pass in a test.
type fakeClock struct {
	start time.Time
	speed int64
	moved *atomic.Int64
}

func newFakeClock(speed int64) fakeClock {
	return fakeClock{start: time.Now(), speed: speed, moved: &atomic.Int64{}}
}

func (c fakeClock) now() time.Time {
	return c.start.Add(time.Since(c.start)*time.Duration(c.speed) + time.Duration(c.moved.Load()))
}

func (c fakeClock) move(d time.Duration) {
	c.moved.Add(int64(d))
}

// faults are the shares of appends that go wrong in each way.
type faults struct {
	refused, lostBefore, lostAfter, late, readFails float64
	pause                                           time.Duration
	keep                                            time.Duration
}

// fakeLog is a log service in memory whose faults come from a seed.
type fakeLog struct {
	clock  fakeClock
	faults faults

	mu      sync.Mutex
	random  *rand.Rand
	outage  bool
	streams map[string]*fakeStream
	landing sync.WaitGroup
	appends int
}

type fakeStream struct {
	records []tlwire.LogRecord
	oldest  uint64
	grown   chan struct{}
}

func newFakeLog(seed uint64, c fakeClock, f faults) *fakeLog {
	return &fakeLog{clock: c, faults: f, random: rand.New(rand.NewPCG(seed, 1)), streams: map[string]*fakeStream{}}
}

func (l *fakeLog) log() Log {
	return Log{Append: l.append, Read: l.read, Count: func(string, int64) {}}
}

// draw says whether a fault with a share happens now.
func (l *fakeLog) draw(share float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < share
}

func (l *fakeLog) between(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.random.Int64N(int64(most)))
}

// stall pauses whoever calls it, now and then for long.
func (l *fakeLog) stall() {
	if l.draw(0.1) {
		time.Sleep(l.between(l.faults.pause))
	}
}

func (l *fakeLog) setOutage(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = on
}

func (l *fakeLog) isOut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outage
}

func (l *fakeLog) append(_ context.Context, stream string, records [][]byte) (uint64, error) {
	l.stall()
	maybe := &tlplatform.MayBeAppendedError{Stream: stream, Cause: errFault}
	switch f := l.faults; {
	case l.draw(f.refused):
		return 0, &tlplatform.NotAppendedError{Stream: stream, Cause: errFault}
	case l.isOut(), l.draw(f.lostBefore):
		return 0, maybe
	case l.draw(f.late):
		d := l.between(f.pause)
		l.landing.Go(func() {
			time.Sleep(d)
			l.land(stream, records)
		})
		return 0, maybe
	case l.draw(f.lostAfter):
		l.land(stream, records)
		return 0, maybe
	}
	return l.land(stream, records), nil
}

func (l *fakeLog) land(stream string, records [][]byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	s := l.stream(stream)
	first := s.oldest + uint64(len(s.records))
	now := l.clock.now()
	for i, r := range records {
		s.records = append(s.records, tlwire.LogRecord{Offset: first + uint64(i), Time: now, Data: r})
	}
	close(s.grown)
	s.grown = make(chan struct{})
	return first
}

// stream drops what is too old; it needs the mutex.
func (l *fakeLog) stream(name string) *fakeStream {
	s, ok := l.streams[name]
	if !ok {
		s = &fakeStream{oldest: 1, grown: make(chan struct{})}
		l.streams[name] = s
	}
	for l.faults.keep > 0 && len(s.records) > 0 && l.clock.now().Sub(s.records[0].Time) > l.faults.keep {
		s.records = s.records[1:]
		s.oldest++
	}
	return s
}

func (l *fakeLog) read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (tlwire.ReadResult, error) {
	l.stall()
	if l.isOut() || l.draw(l.faults.readFails) {
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
	return v, s.grown, nil
}
