package tlfollow

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlkeyed"
)

var (
	errUnreachable = errors.New("unreachable")
	errCompacted   = errors.New("compacted")
)

// fakeLog stands in for a log and a reader of it; both answer what the test sets.
type fakeLog struct {
	now      time.Time
	newest   tlkeyed.Batch
	read     tlkeyed.Batch
	err      error
	fresh    tlkeyed.Batch
	hasFresh bool
	isReader bool
	reads    int
	resets   [][]tlkeyed.Record
	applied  []tlkeyed.Record
	lost     int
	regained int
}

func newFakeLog() *fakeLog {
	return &fakeLog{now: time.Unix(1000, 0), isReader: true, newest: batch(3, "a")}
}

func batch(next uint64, keys ...string) tlkeyed.Batch {
	b := tlkeyed.Batch{Next: next, End: next}
	for _, k := range keys {
		b.Records = append(b.Records, tlkeyed.Record{Key: k, Value: []byte("v"), Offset: next - 1})
	}
	return b
}

func (s *fakeLog) follower() *Follower {
	return New(Options{
		Newest: func(context.Context) (tlkeyed.Batch, error) { return s.newest, s.err },
		Read: func(context.Context, uint64, time.Duration) (tlkeyed.Batch, error) {
			s.reads++
			return s.read, s.err
		},
		AskPeer:     func(context.Context, uint64) (tlkeyed.Batch, bool) { return s.fresh, s.hasFresh },
		IsReader:    func() bool { return s.isReader },
		AskReader:   func(context.Context, uint64) (tlkeyed.Batch, bool) { return s.fresh, s.hasFresh },
		IsCompacted: func(err error) bool { return errors.Is(err, errCompacted) },
		Every:       time.Second,
		AskEvery:    2 * time.Second,
		Timeout:     time.Second,
		Reset:       func(r []tlkeyed.Record) { s.resets = append(s.resets, r) },
		Apply:       func(r []tlkeyed.Record) { s.applied = append(s.applied, r...) },
		OnLost:      func(error) { s.lost++ },
		OnRegained:  func(time.Duration) { s.regained++ },
		Now:         func() time.Time { return s.now },
	})
}

// step runs one step and returns the delay after it.
func (s *fakeLog) step(t *testing.T, f *Follower) time.Duration {
	t.Helper()
	return f.finishStep(s.now, f.step(context.Background()))
}

func TestFollowerAppliesEachRecordOnce(t *testing.T) {
	s := newFakeLog()
	f := s.follower()
	s.step(t, f)
	require.Len(t, s.resets, 1)
	s.read = batch(5, "b", "c")
	s.step(t, f)
	assert.Len(t, s.applied, 2)
	assert.Equal(t, uint64(5), f.next())
	s.read = batch(5)
	s.step(t, f)
	assert.Len(t, s.applied, 2)
	assert.Len(t, f.Snapshot().Records, 3)
}

func TestFollowerReloadsAfterCompaction(t *testing.T) {
	s := newFakeLog()
	f := s.follower()
	s.step(t, f)
	s.err = errCompacted
	s.newest = batch(9, "z")
	assert.Error(t, f.step(context.Background()), "the newest records cannot be loaded either")
	s.err = nil
	f.o.Read = func(context.Context, uint64, time.Duration) (tlkeyed.Batch, error) {
		return tlkeyed.Batch{}, errCompacted
	}
	s.step(t, f)
	require.Len(t, s.resets, 2)
	assert.Equal(t, uint64(9), f.next())
	assert.Len(t, f.Snapshot().Records, 1)
}

func TestOutageIsReportedOnceAndRetriesBackOff(t *testing.T) {
	s := newFakeLog()
	f := s.follower()
	s.step(t, f)
	s.err = errUnreachable
	var pauses []time.Duration
	for range 4 {
		pauses = append(pauses, s.step(t, f))
	}
	assert.Equal(t, []time.Duration{minRetryDelay, 2 * minRetryDelay, maxRetryDelay, maxRetryDelay}, pauses)
	assert.False(t, f.IsFresh())
	assert.Equal(t, s.now, f.FailedAt())
	s.err = nil
	s.step(t, f)
	assert.Equal(t, []int{1, 1}, []int{s.lost, s.regained})
	assert.True(t, f.IsFresh())
}

func TestNonReaderAsksReaderAndReadsOnlyIfNoReaderReachesTheLog(t *testing.T) {
	s := newFakeLog()
	f := s.follower()
	s.step(t, f)
	s.isReader, s.hasFresh, s.fresh = false, true, batch(7, "d")
	assert.Equal(t, 2*time.Second, s.step(t, f))
	assert.Zero(t, s.reads)
	assert.Equal(t, uint64(7), f.next())
	assert.False(t, f.IsFresh(), "an instance that is not a reader does not vouch for the log to others")
	s.hasFresh = false
	s.read = batch(8, "e")
	s.step(t, f)
	assert.Equal(t, 1, s.reads)
}

func TestReaderIsNotFreshAfterItsLastAnswerExpires(t *testing.T) {
	s := newFakeLog()
	f := s.follower()
	s.step(t, f)
	assert.True(t, f.IsFresh())
	s.now = s.now.Add(freshFor)
	assert.False(t, f.IsFresh())
}
