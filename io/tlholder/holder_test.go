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

var errLost = errors.New("the answer was lost")

// fakeLog is a log of one stream whose append answers may be lost.
type fakeLog struct {
	now     time.Time
	records []tlwire.LogRecord
	lose    bool
}

func (f *fakeLog) log() Log {
	return Log{
		Append: func(_ context.Context, b []byte) (uint64, error) {
			f.records = append(f.records, tlwire.LogRecord{Offset: uint64(len(f.records) + 1), Time: f.now, Data: b})
			if f.lose {
				return 0, errLost
			}
			return uint64(len(f.records)), nil
		},
		Read: func(_ context.Context, from uint64, _ int, _ time.Duration) (tlwire.ReadResult, error) {
			return tlwire.ReadResult{Oldest: 1, Next: uint64(len(f.records) + 1), Records: f.records[from-1:]}, nil
		},
		Oldest:      func(error) (uint64, bool) { return 0, false },
		NotAppended: func(error) bool { return false },
	}
}

func (f *fakeLog) holder(name string) *Holder {
	var nonce uint64
	return New(Options{
		Log:      f.log(),
		Instance: name,
		Duration: time.Minute,
		Nonce:    func() uint64 { nonce++; return nonce },
		Now:      func() time.Time { return f.now },
	})
}

func TestOneHolderAtATime(t *testing.T) {
	f := &fakeLog{now: time.Unix(1000, 0)}
	a, b := f.holder("a"), f.holder("b")
	l, err := a.Take(t.Context(), "g")
	require.NoError(t, err)
	assert.EqualValues(t, 1, l.Number)
	assert.True(t, l.Holds(30*time.Second))
	assert.False(t, l.Holds(time.Minute))
	_, err = b.Take(t.Context(), "g")
	require.ErrorIs(t, err, ErrHeld)

	l.Release(t.Context())
	f.now = f.now.Add(time.Second)
	n, err := b.Take(t.Context(), "g")
	require.NoError(t, err)
	assert.Greater(t, n.Number, l.Number)
}

func TestLeaseWhoseAnswerWasLostIsFoundByReading(t *testing.T) {
	f := &fakeLog{now: time.Unix(1000, 0), lose: true}
	l, err := f.holder("a").Take(t.Context(), "g")
	require.NoError(t, err)
	assert.EqualValues(t, 1, l.Number)
}

func TestLapsedLeaseIsTakenUnderAHigherNumber(t *testing.T) {
	f := &fakeLog{now: time.Unix(1000, 0)}
	l, err := f.holder("a").Take(t.Context(), "g")
	require.NoError(t, err)
	f.now = f.now.Add(2 * time.Minute)
	assert.False(t, l.Holds(0))
	n, err := f.holder("b").Take(t.Context(), "g")
	require.NoError(t, err)
	assert.Greater(t, n.Number, l.Number)
}
