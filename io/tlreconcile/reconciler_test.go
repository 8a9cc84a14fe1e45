package tlreconcile

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"trefoillanding/core/tlfleet"
	"trefoillanding/core/tlwire"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var (
	errOld  = errors.New("old fencing number")
	errBusy = errors.New("the weight store is busy")
)

// testFleet simulates engines, a clock, leases and a weight store.
type testFleet struct {
	mu        sync.Mutex
	now       time.Time
	fencing   uint64
	engines   map[netip.AddrPort]*fakeEngine
	service   tlwire.Service
	pool      tlwire.Pool
	storeBusy bool
	counts    map[string]int64
}

// fakeEngine is an engine that loads a model at once.
type fakeEngine struct {
	report        tlwire.LoadReport
	checksFencing bool
	orders        []tlwire.Order
}

func newTestFleet(checks bool, roles ...tlwire.Role) *testFleet {
	w := &testFleet{
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		engines: map[netip.AddrPort]*fakeEngine{},
		service: tlwire.Service{Models: []tlwire.Model{{Name: "m", Version: "2"}}},
		pool:    tlwire.Pool{Name: "p"},
		counts:  map[string]int64{},
	}
	for i, r := range roles {
		a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
		w.pool.Engines = append(w.pool.Engines, tlwire.Engine{Name: fmt.Sprint("e", i), Address: a, Role: r, ChecksFencing: checks})
		w.engines[a] = &fakeEngine{checksFencing: checks, report: tlwire.LoadReport{
			Role: r, PiecesTotal: 10, PiecesFree: 10,
			Models: []tlwire.LoadedModel{{Model: "m", Version: "1", Ready: true}},
		}}
	}
	return w
}

func (w *testFleet) load(_ context.Context, a netip.AddrPort) (tlwire.LoadReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.engines[a].report
	r.ReportedAt = w.now.Add(-time.Hour)
	return r, nil
}

func (w *testFleet) order(_ context.Context, a netip.AddrPort, o tlwire.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[a]
	if e.checksFencing && o.FencingNumber < e.report.FencingNumber {
		return errOld
	}
	e.report.FencingNumber = max(e.report.FencingNumber, o.FencingNumber)
	e.orders = append(e.orders, o)
	m := tlwire.LoadedModel{Model: o.Model, Version: o.Version, Ready: true}
	switch o.Kind {
	case tlwire.OrderKindLoadModel:
		e.report.Models = append(slices.Clone(e.report.Models), m)
	case tlwire.OrderKindUnloadModel:
		e.report.Models = slices.DeleteFunc(slices.Clone(e.report.Models), func(x tlwire.LoadedModel) bool { return x == m })
	case tlwire.OrderKindSetRole:
		e.report.Role = o.Role
	}
	return nil
}

func (w *testFleet) options() Options {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return Options{
		HomePools: func() []HomePool {
			return []HomePool{{Pool: w.pool, Service: w.service, ServiceEngineCount: len(w.engines)}}
		},
		Engines: Engines{
			Load: w.load, Order: w.order,
			IsOldFencingNumber: func(err error) bool { return errors.Is(err, errOld) },
		},
		WeightInfo: func(context.Context, string, string) (tlwire.WeightInfo, error) {
			if w.storeBusy {
				return tlwire.WeightInfo{}, errBusy
			}
			return tlwire.WeightInfo{Bytes: 10, BytesPerSecond: 1}, nil
		},
		TakeLease: func(context.Context, string) (Lease, error) {
			w.fencing++
			return Lease{FencingNumber: w.fencing, ValidFor: func(time.Duration) bool { return true }, Release: func(context.Context) {}}, nil
		},
		Limits: tlfleet.Limits{MaxLoading: 1, UnloadAfter: 30 * time.Second},
		Times:  Times{Interval: 10 * time.Millisecond, Timeout: time.Second, SettleDelay: 5 * time.Second},
		Now: func() time.Time {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.now
		},
		Logger: logrus.NewEntry(l),
		Add: func(reason string, n int64) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.counts[reason] += n
		},
	}
}

func (w *testFleet) advance(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now = w.now.Add(d)
}

func (w *testFleet) isAsDeclared() bool {
	for _, e := range w.pool.Engines {
		r := w.engines[e.Address].report
		if r.Role != e.Role || len(r.Models) != 1 || r.Models[0].Version != "2" {
			return false
		}
	}
	return true
}

func TestVersionRollsOutWithinWeightStoreRate(t *testing.T) {
	w := newTestFleet(true, tlwire.RolePrefill, tlwire.RoleDecode, tlwire.RoleDecode)
	r := New(w.options())
	loads := 0
	for range 30 {
		before := w.counts[string(tlwire.OrderKindLoadModel)]
		r.Round(t.Context())
		loads += int(w.counts[string(tlwire.OrderKindLoadModel)] - before)
		w.advance(5 * time.Second)
	}
	assert.True(t, w.isAsDeclared())
	assert.Equal(t, 3, loads)
	assert.Positive(t, w.counts[countLoadPaced])
	assert.EqualValues(t, 2, w.fencing, "one lease for the loads and one for the unloads, none during the wait for old streams to end")
	for _, e := range w.engines {
		assert.Equal(t, tlwire.OrderKindLoadModel, e.orders[0].Kind)
		assert.Equal(t, tlwire.OrderKindUnloadModel, e.orders[1].Kind)
		assert.Len(t, e.orders, 2, "no order was sent twice")
	}
}

func TestReportFromBeforeAnOrderIsStale(t *testing.T) {
	var c clock
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	skew := -time.Hour
	assert.True(t, c.isFresh(at, at.Add(skew)))
	assert.True(t, c.isFresh(at.Add(time.Second), at.Add(skew)), "a lagging report is fresh as long as no order was sent")
	c.noteOrder(at.Add(2 * time.Second))
	assert.False(t, c.isFresh(at.Add(3*time.Second), at.Add(skew+2*time.Second)))
	assert.True(t, c.isFresh(at.Add(3*time.Second), at.Add(skew+2*time.Second+1)))
}

func TestBusyWeightStoreDelaysLoads(t *testing.T) {
	w := newTestFleet(true, tlwire.RoleBoth)
	w.storeBusy = true
	r := New(w.options())
	r.Round(t.Context())
	assert.EqualValues(t, 1, w.counts[countWeightStoreBusy])
	assert.Empty(t, w.engines[w.pool.Engines[0].Address].orders)
	w.storeBusy = false
	w.advance(time.Second)
	r.Round(t.Context())
	assert.Len(t, w.engines[w.pool.Engines[0].Address].orders, 1)
}

// A former holder that was paused sends an order under its old lease, chosen from an
// old configuration. Engines that check the fencing number refuse it; with others it
// takes effect, and the present holder repairs it.
func TestLateOrderOfFormerHolderIsRefusedOrRepaired(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint("checks ", checks), func(t *testing.T) {
			w := newTestFleet(checks, tlwire.RolePrefill, tlwire.RoleDecode)
			former, holder := New(w.options()), New(w.options())
			former.Round(t.Context())
			w.advance(6 * time.Second)
			for range 30 {
				holder.Round(t.Context())
				w.advance(5 * time.Second)
			}
			require.True(t, w.isAsDeclared())
			late := tlfleet.EngineOrder{Engine: w.pool.Engines[1], Order: tlwire.Order{Kind: tlwire.OrderKindLoadModel, Model: "m", Version: "1"}}
			former.pools["p"].sendOrder(t.Context(), late)
			if checks {
				assert.EqualValues(t, 1, w.counts[countOldFencingNumber])
				assert.Nil(t, former.pools["p"].lease)
			} else {
				assert.False(t, w.isAsDeclared(), "the late order can't be refused")
			}
			for range 30 {
				w.advance(5 * time.Second)
				holder.Round(t.Context())
			}
			assert.True(t, w.isAsDeclared(), "the present holder repairs the effect of the late order")
		})
	}
}

func TestRunReleasesLeasesWhenItEnds(t *testing.T) {
	w := newTestFleet(true, tlwire.RoleBoth)
	o := w.options()
	released := make(chan struct{})
	o.TakeLease = func(context.Context, string) (Lease, error) {
		return Lease{FencingNumber: 1, ValidFor: func(time.Duration) bool { return true }, Release: func(context.Context) { close(released) }}, nil
	}
	r := New(o)
	ctx, stop := context.WithCancel(t.Context())
	go r.Run(ctx)
	require.Eventually(t, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.counts[countLeaseTaken] > 0
	}, 5*time.Second, time.Millisecond)
	stop()
	<-r.Done()
	<-released
}
