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

var errConflict = errors.New("the log has moved on")

// world is a log of holders, a clock and engines that note their orders.
type world struct {
	mu      sync.Mutex
	now     time.Time
	records []tlkeyed.Record
	orders  []order
	loads   func()
}

type order struct {
	holder string
	engine string
	fence  uint64
	at     time.Time
}

func newWorld() *world {
	return &world{now: time.Unix(1000, 0), loads: func() {}}
}

func (w *world) log() HolderLog {
	return HolderLog{
		Newest: func(context.Context) (tlkeyed.Batch, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			b := tlkeyed.Batch{End: uint64(len(w.records))}
			if n := len(w.records); n > 0 {
				b.Records = w.records[n-1:]
			}
			return b, nil
		},
		Append: func(_ context.Context, service string, holder []byte, at uint64) (uint64, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if at != uint64(len(w.records)) {
				return 0, errConflict
			}
			w.records = append(w.records, tlkeyed.Record{Key: service, Value: holder, Offset: at})
			return at, nil
		},
	}
}

func (w *world) clock() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now
}

func (w *world) pass(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now = w.now.Add(d)
}

// state wants one prefill engine of eight to become a decode engine.
func state(string) tlrole.State {
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

func (w *world) orderer(holder string) *Orderer {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return New(Options{
		Holder:     holder,
		Lease:      3 * time.Second,
		HolderLog:  w.log(),
		Roles:      state,
		Away:       func(string, string, time.Time) {},
		RoleChange: func(string) time.Duration { return 6 * time.Second },
		Load: func(context.Context, tlendpoint.Endpoint) (tlendpoint.Load, error) {
			w.loads()
			return tlendpoint.Load{}, nil
		},
		Order: func(_ context.Context, e tlendpoint.Endpoint, _ tlendpoint.Role, fence uint64, _ int64) error {
			at := w.clock()
			w.mu.Lock()
			defer w.mu.Unlock()
			w.orders = append(w.orders, order{holder, e.ID, fence, at})
			return nil
		},
		Now:    w.clock,
		Logger: logrus.NewEntry(l),
		Count:  func(string) {},
	})
}

// settle lets an orderer see its engines for long enough to plan.
func (w *world) settle(o *Orderer) {
	o.state("s")
	w.pass(2 * time.Second)
}

func TestOrdersGoOutUnderRisingNumbers(t *testing.T) {
	w := newWorld()
	o := w.orderer("a")
	w.settle(o)
	o.plan(context.Background(), "s")
	require.Len(t, w.orders, 1)
	w.pass(forgetAfter)
	o.plan(context.Background(), "s")
	require.Len(t, w.orders, 2)
	assert.Less(t, w.orders[0].fence, w.orders[1].fence)
}

func TestAnotherHolderWaitsUntilTheLastOrderIsALeaseAgo(t *testing.T) {
	w := newWorld()
	a, b := w.orderer("a"), w.orderer("b")
	w.settle(a)
	w.settle(b)
	a.plan(context.Background(), "s")
	require.Len(t, w.orders, 1)
	for range 100 {
		b.plan(context.Background(), "s")
		w.pass(100 * time.Millisecond)
	}
	require.Len(t, w.orders, 2)
	assert.Equal(t, "b", w.orders[1].holder)
	assert.Greater(t, w.orders[1].at.Sub(w.orders[0].at), 3*time.Second+sendWithin)
	assert.Greater(t, w.orders[1].fence, w.orders[0].fence)
}

func TestAHolderThatWroteMeanwhileStartsTheWaitAnew(t *testing.T) {
	w := newWorld()
	b := w.orderer("b")
	f := &b.fence
	_, err := w.log().Append(context.Background(), "s", []byte("a"), 0)
	require.NoError(t, err)
	_, err = f.take(context.Background(), "s")
	assert.ErrorIs(t, err, errHeld)
	w.pass(4 * time.Second)
	_, err = w.log().Append(context.Background(), "s", []byte("a"), 1)
	require.NoError(t, err)
	w.pass(4 * time.Second)
	_, err = f.take(context.Background(), "s")
	assert.ErrorIs(t, err, errHeld)
	w.pass(5 * time.Second)
	_, err = f.take(context.Background(), "s")
	assert.NoError(t, err)
}

func TestTwoThatRaceForANumberDontBothGetIt(t *testing.T) {
	w := newWorld()
	log := w.log()
	// Both read the same end before either appends.
	b, err := log.Newest(context.Background())
	require.NoError(t, err)
	_, err = log.Append(context.Background(), "s", []byte("a"), b.End)
	require.NoError(t, err)
	_, err = log.Append(context.Background(), "s", []byte("b"), b.End)
	assert.ErrorIs(t, err, errConflict)
}

func TestAPausedHolderSendsNothingUnderAnOldNumber(t *testing.T) {
	w := newWorld()
	o := w.orderer("a")
	w.settle(o)
	w.loads = func() { w.pass(sendWithin + time.Millisecond) }
	o.plan(context.Background(), "s")
	assert.Empty(t, w.orders)
}

func TestAnEngineThatWasOrderedIsLeftAloneUntilItIsSeen(t *testing.T) {
	w := newWorld()
	o := w.orderer("a")
	w.settle(o)
	o.plan(context.Background(), "s")
	w.pass(5 * time.Second)
	o.plan(context.Background(), "s")
	assert.Len(t, w.orders, 1, "the engine counts for the role that it will have")
}
