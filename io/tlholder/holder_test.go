package tlholder

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlwire"
)

var (
	errGone = errors.New("the offset is no longer kept")
	errLost = errors.New("the answer was lost")
)

// fakeLog is an in-memory log with a settable clock.
type fakeLog struct {
	now         time.Time
	oldest      uint64
	records     []tlwire.LogRecord
	loseAnswers bool
}

func newFakeLog() *fakeLog {
	return &fakeLog{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), oldest: 1}
}

func (w *fakeLog) append(_ context.Context, _ string, records [][]byte) (uint64, error) {
	w.records = append(w.records, tlwire.LogRecord{Offset: uint64(len(w.records) + 1), Time: w.now, Data: records[0]})
	if w.loseAnswers {
		return 0, errLost
	}
	return uint64(len(w.records)), nil
}

func (w *fakeLog) read(_ context.Context, _ string, from uint64, _ int, _ time.Duration) (tlwire.ReadResult, error) {
	if from < w.oldest {
		return tlwire.ReadResult{}, errGone
	}
	return tlwire.ReadResult{Records: w.records[min(int(from)-1, len(w.records)):]}, nil
}

func (w *fakeLog) holder(name string, incarnation uint64) *Holder {
	return New(Options{
		Name: name, Incarnation: incarnation, Append: w.append, Read: w.read,
		OldestOffset: func(err error) (uint64, bool) { return w.oldest, errors.Is(err, errGone) },
		Duration:     time.Minute, Margin: 10 * time.Second,
		Now:   func() time.Time { return w.now },
		Nonce: func() uint64 { return uint64(len(w.records)) },
		Add:   func(string, int64) {},
	})
}

func TestLeaseIsHeldByOneInstance(t *testing.T) {
	w := newFakeLog()
	a, b := w.holder("a", 1), w.holder("b", 1)
	l, err := a.Take(t.Context(), "g")
	require.NoError(t, err)
	assert.EqualValues(t, 1, l.Fence)
	assert.True(t, l.ValidFor(49*time.Second))
	assert.False(t, l.ValidFor(50*time.Second))

	var held *HeldError
	_, err = b.Take(t.Context(), "g")
	require.ErrorAs(t, err, &held)
	assert.Equal(t, "a", held.Lease.Instance)
	_, err = b.Take(t.Context(), "other")
	require.NoError(t, err)

	w.now = w.now.Add(30 * time.Second)
	again, err := a.Take(t.Context(), "g")
	require.NoError(t, err)
	assert.Equal(t, l.Fence, again.Fence, "a renewal keeps the fencing number")
	assert.True(t, again.ValidFor(49*time.Second))
	assert.False(t, l.ValidFor(20*time.Second), "a renewal does not extend the earlier copy")

	w.now = w.now.Add(61 * time.Second)
	m, err := b.Take(t.Context(), "g")
	require.NoError(t, err)
	assert.Greater(t, m.Fence, l.Fence)
	assert.False(t, again.ValidFor(0))

	m.Release(t.Context())
	n, err := a.Take(t.Context(), "g")
	require.NoError(t, err)
	assert.Greater(t, n.Fence, m.Fence)
}

func TestConcurrentTakeIsDecidedByLogOrder(t *testing.T) {
	w := newFakeLog()
	a, b := w.holder("a", 1), w.holder("b", 1)
	b.o.Append = func(ctx context.Context, stream string, records [][]byte) (uint64, error) {
		_, err := a.Take(ctx, "g")
		require.NoError(t, err)
		return w.append(ctx, stream, records)
	}
	_, err := b.Take(t.Context(), "g")
	var held *HeldError
	require.ErrorAs(t, err, &held)
	assert.Equal(t, "a", held.Lease.Instance)
}

func TestLeaseIsNotHeldWhenAppendAnswerIsLost(t *testing.T) {
	w := newFakeLog()
	a := w.holder("a", 1)
	w.loseAnswers = true
	_, err := a.Take(t.Context(), "g")
	require.ErrorIs(t, err, errLost)
	w.loseAnswers = false
	w.now = w.now.Add(20 * time.Second)
	l, err := a.Take(t.Context(), "g")
	require.NoError(t, err)
	assert.EqualValues(t, 1, l.Fence, "the lease is found to be this instance's own and is renewed")
}

func TestRestartedInstanceTakesOverItsOwnLease(t *testing.T) {
	w := newFakeLog()
	l, err := w.holder("a", 1).Take(t.Context(), "g")
	require.NoError(t, err)
	m, err := w.holder("a", 2).Take(t.Context(), "g")
	require.NoError(t, err)
	assert.Greater(t, m.Fence, l.Fence)
}

func TestReaderBehindRetentionTreatsLeaseAsHeld(t *testing.T) {
	w := newFakeLog()
	a := w.holder("a", 1)
	_, err := a.Take(t.Context(), "g")
	require.NoError(t, err)
	w.oldest = 2
	_, err = w.holder("b", 1).Take(t.Context(), "g")
	var held *HeldError
	require.ErrorAs(t, err, &held, "a reader that missed the first record can't know yet which leases are held")
	w.now = w.now.Add(6 * time.Minute)
	_, err = w.holder("b", 1).Take(t.Context(), "g")
	require.NoError(t, err)
}
