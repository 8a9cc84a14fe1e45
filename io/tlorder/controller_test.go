package tlorder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlkeyed"
	"trefoillanding/core/tlrole"
)

var errConflict = errors.New("the log has grown since it was read")

// testbed provides a log of holders, a clock, and engines that record their orders.
type testbed struct {
	mu      sync.Mutex
	now     time.Time
	records []tlkeyed.Record
	era     uint64
	orders  []sentOrder
	onLoad  func()
}

type sentOrder struct {
	holder string
	engine string
	fence  uint64
	at     time.Time
}

func newTestbed() *testbed {
	return &testbed{now: time.Unix(1000, 0), onLoad: func() {}}
}

func (w *testbed) log() HolderLog {
	return HolderLog{
		Newest: func(context.Context) (tlkeyed.Batch, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			b := tlkeyed.Batch{End: uint64(len(w.records)), Era: w.era}
			if n := len(w.records); n > 0 {
				b.Records = w.records[n-1:]
			}
			return b, nil
		},
		Append: func(_ context.Context, service string, holder []byte, at uint64) (tlkeyed.Position, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if at != uint64(len(w.records)) {
				return tlkeyed.Position{}, errConflict
			}
			w.records = append(w.records, tlkeyed.Record{Key: service, Value: holder, Offset: at})
			return tlkeyed.Position{Era: w.era, Offset: at}, nil
		},
	}
}

func (w *testbed) clock() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now
}

func (w *testbed) advance(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now = w.now.Add(d)
}

// surplusPrefillState returns a state of eight engines whose plan turns one of three prefill engines into a decode engine.
func surplusPrefillState(string) tlrole.State {
	s := tlrole.State{PrefillWork: 0.1, DecodeWork: 0.4}
	for n := range 8 {
		e := tlendpoint.Endpoint{ID: fmt.Sprint("e", n), Role: tlendpoint.Decode}
		if n < 3 {
			e.Role = tlendpoint.Prefill
		}
		s.Engines = append(s.Engines, tlrole.Engine{Endpoint: e})
	}
	return s
}

func (w *testbed) controller(holder string) *Controller {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return New(Options{
		Holder:           holder,
		Lease:            3 * time.Second,
		HolderLog:        w.log(),
		Roles:            surplusPrefillState,
		LacksDecoder:     func(string) bool { return false },
		MarkChangingRole: func(string, string, tlendpoint.Role, time.Time) {},
		MarkKeepingRole:  func(string, string) {},
		HasEnded:         func(context.Context, tlendpoint.Endpoint) bool { return false },
		RoleChangeTime:   func(string) time.Duration { return 6 * time.Second },
		Load: func(context.Context, tlendpoint.Endpoint) (tlendpoint.Load, error) {
			w.onLoad()
			return tlendpoint.Load{}, nil
		},
		Order: func(_ context.Context, e tlendpoint.Endpoint, _ tlendpoint.Role, fence uint64, _ int64) error {
			at := w.clock()
			w.mu.Lock()
			defer w.mu.Unlock()
			w.orders = append(w.orders, sentOrder{holder, e.ID, fence, at})
			return nil
		},
		Now:    w.clock,
		Logger: logrus.NewEntry(l),
		Count:  func(string) {},
	})
}

// settle lets a Controller see the same engines for long enough to plan.
func (w *testbed) settle(o *Controller) {
	o.planState("s")
	w.advance(2 * time.Second)
}

func TestOrdersCarryIncreasingFencingNumbers(t *testing.T) {
	w := newTestbed()
	o := w.controller("a")
	w.settle(o)
	o.plan(context.Background(), "s")
	require.Len(t, w.orders, 1)
	w.advance(orderExpiry)
	o.plan(context.Background(), "s")
	require.Len(t, w.orders, 2)
	assert.Less(t, w.orders[0].fence, w.orders[1].fence)
}

func TestNextHolderWaitsForLeaseOfPreviousHolder(t *testing.T) {
	w := newTestbed()
	a, b := w.controller("a"), w.controller("b")
	w.settle(a)
	w.settle(b)
	a.plan(context.Background(), "s")
	require.Len(t, w.orders, 1)
	for range 100 {
		b.plan(context.Background(), "s")
		w.advance(100 * time.Millisecond)
	}
	require.Len(t, w.orders, 2)
	assert.Equal(t, "b", w.orders[1].holder)
	assert.Greater(t, w.orders[1].at.Sub(w.orders[0].at), 3*time.Second+batchMaxAge)
	assert.Greater(t, w.orders[1].fence, w.orders[0].fence)
}

func TestNewRecordOfOtherHolderRestartsLeaseWait(t *testing.T) {
	w := newTestbed()
	b := w.controller("b")
	f := &b.fence
	_, err := w.log().Append(context.Background(), "s", []byte("a"), 0)
	require.NoError(t, err)
	_, err = f.acquire(context.Background(), "s")
	assert.ErrorIs(t, err, errHeld)
	w.advance(4 * time.Second)
	_, err = w.log().Append(context.Background(), "s", []byte("a"), 1)
	require.NoError(t, err)
	w.advance(4 * time.Second)
	_, err = f.acquire(context.Background(), "s")
	assert.ErrorIs(t, err, errHeld)
	w.advance(5 * time.Second)
	_, err = f.acquire(context.Background(), "s")
	assert.NoError(t, err)
}

func TestConcurrentAppendsGrantOnlyOneFencingNumber(t *testing.T) {
	w := newTestbed()
	log := w.log()
	// Both holders read the same end of the log before either appends.
	b, err := log.Newest(context.Background())
	require.NoError(t, err)
	_, err = log.Append(context.Background(), "s", []byte("a"), b.End)
	require.NoError(t, err)
	_, err = log.Append(context.Background(), "s", []byte("b"), b.End)
	assert.ErrorIs(t, err, errConflict)
}

func TestPausedHolderSendsNoOrderWithExpiredFencingNumber(t *testing.T) {
	w := newTestbed()
	o := w.controller("a")
	w.settle(o)
	w.onLoad = func() { w.advance(batchMaxAge + time.Millisecond) }
	o.plan(context.Background(), "s")
	assert.Empty(t, w.orders)
}

func TestOrderedEngineGetsNoOrderUntilItsNewRoleIsListed(t *testing.T) {
	w := newTestbed()
	o := w.controller("a")
	w.settle(o)
	o.plan(context.Background(), "s")
	w.advance(5 * time.Second)
	o.plan(context.Background(), "s")
	assert.Len(t, w.orders, 1, "the engine counts for the role that it will have")
}

// goBack restores the log from a copy with so many records.
func (w *testbed) goBack(records int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = w.records[:records:records]
	w.era++
}

// A log that went back gives out offsets again and has lost the record of whoever may
// still give orders.
func TestNoFencingNumberIsGivenTwiceWhenTheLogGoesBack(t *testing.T) {
	cases := []struct {
		name string
		// sees says that the next holder has seen the era before.
		sees bool
		kept int
	}{
		{"1 the next holder has seen the record that is lost", true, 0},
		{"2 the next holder has seen nothing before", false, 0},
		{"3 an older record of the former holder is left", true, 1},
		{"4 the same, and the next holder has seen nothing before", false, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestbed()
			w.era = 1
			a, b := w.controller("a"), w.controller("b")
			w.settle(a)
			w.settle(b)
			a.plan(t.Context(), "s")
			w.advance(orderExpiry)
			a.plan(t.Context(), "s")
			require.Len(t, w.orders, 2)
			if c.sees {
				_, err := b.fence.acquire(t.Context(), "s")
				require.ErrorIs(t, err, errHeld)
			}
			w.goBack(c.kept)
			for range 200 {
				b.plan(t.Context(), "s")
				w.advance(100 * time.Millisecond)
			}
			require.Greater(t, len(w.orders), 2)
			next := w.orders[2]
			assert.Equal(t, "b", next.holder)
			assert.Greater(t, next.fence, w.orders[1].fence)
			assert.Greater(t, next.at.Sub(w.orders[1].at), 3*time.Second+batchMaxAge)
		})
	}
}

// A record that was appended after the log went back says nothing on who held the lease before.
func TestNoFencingNumberWhereTheLogGoesBackBeforeTheAppend(t *testing.T) {
	w := newTestbed()
	w.era = 1
	o := w.controller("a")
	log := o.fence.log
	o.fence.log.Append = func(ctx context.Context, service string, holder []byte, at uint64) (tlkeyed.Position, error) {
		w.goBack(int(at))
		return log.Append(ctx, service, holder, at)
	}
	_, err := o.fence.acquire(t.Context(), "s")
	assert.ErrorIs(t, err, errWentBack)
}
