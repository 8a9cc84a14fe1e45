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

// world is engines, clock, leases and weight store for tests.
type world struct {
	mu      sync.Mutex
	now     time.Time
	fencing uint64
	engines map[netip.AddrPort]*fake
	service tlwire.Service
	pool    tlwire.Pool
	busy    bool
	counts  map[string]int64
}

// fake is an engine that loads at once.
type fake struct {
	report tlwire.LoadReport
	checks bool
	orders []tlwire.Order
}

func newWorld(checks bool, roles ...tlwire.Role) *world {
	w := &world{
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		engines: map[netip.AddrPort]*fake{},
		service: tlwire.Service{Models: []tlwire.Model{{Name: "m", Version: "2"}}},
		pool:    tlwire.Pool{Name: "p"},
		counts:  map[string]int64{},
	}
	for i, r := range roles {
		a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
		w.pool.Engines = append(w.pool.Engines, tlwire.Engine{Name: fmt.Sprint("e", i), Address: a, Role: r, ChecksFencing: checks})
		w.engines[a] = &fake{checks: checks, report: tlwire.LoadReport{
			Role: r, PiecesTotal: 10, PiecesFree: 10,
			Models: []tlwire.LoadedModel{{Model: "m", Version: "1", Ready: true}},
		}}
	}
	return w
}

func (w *world) load(_ context.Context, a netip.AddrPort) (tlwire.LoadReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.engines[a].report
	r.ReportedAt = w.now.Add(-time.Hour)
	return r, nil
}

func (w *world) order(_ context.Context, a netip.AddrPort, o tlwire.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[a]
	if e.checks && o.FencingNumber < e.report.FencingNumber {
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

func (w *world) options() Options {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return Options{
		Work: func() []Work { return []Work{{Pool: w.pool, Service: w.service, AllEngines: len(w.engines)}} },
		Engines: Engines{
			Load: w.load, Order: w.order,
			IsOldNumber: func(err error) bool { return errors.Is(err, errOld) },
		},
		WeightInfo: func(context.Context, string, string) (tlwire.WeightInfo, error) {
			if w.busy {
				return tlwire.WeightInfo{}, errBusy
			}
			return tlwire.WeightInfo{Bytes: 10, BytesPerSecond: 1}, nil
		},
		Take: func(context.Context, string) (Lease, error) {
			w.fencing++
			return Lease{Number: w.fencing, Holds: func(time.Duration) bool { return true }, Release: func(context.Context) {}}, nil
		},
		Limits: tlfleet.Limits{MaxLoading: 1, UnloadAfter: 30 * time.Second},
		Times:  Times{Every: 10 * time.Millisecond, Timeout: time.Second, Settle: 5 * time.Second},
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

func (w *world) pass(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now = w.now.Add(d)
}

func (w *world) isAsDeclared() bool {
	for _, e := range w.pool.Engines {
		r := w.engines[e.Address].report
		if r.Role != e.Role || len(r.Models) != 1 || r.Models[0].Version != "2" {
			return false
		}
	}
	return true
}

func TestRoundsRollAVersionWithinTheStoresRate(t *testing.T) {
	w := newWorld(true, tlwire.RolePrefill, tlwire.RoleDecode, tlwire.RoleDecode)
	r := New(w.options())
	loads := 0
	for range 30 {
		before := w.counts[string(tlwire.OrderKindLoadModel)]
		r.Round(t.Context())
		loads += int(w.counts[string(tlwire.OrderKindLoadModel)] - before)
		w.pass(5 * time.Second)
	}
	assert.True(t, w.isAsDeclared())
	assert.Equal(t, 3, loads)
	assert.Positive(t, w.counts[countPaced])
	assert.EqualValues(t, 2, w.fencing, "one lease for the loads and one for the unloads, none while old streams end")
	for _, e := range w.engines {
		assert.Equal(t, tlwire.OrderKindLoadModel, e.orders[0].Kind)
		assert.Equal(t, tlwire.OrderKindUnloadModel, e.orders[1].Kind)
		assert.Len(t, e.orders, 2, "no order was given twice")
	}
}

func TestAReportFromBeforeAnOrderDoesNotCount(t *testing.T) {
	var c clock
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	skew := -time.Hour
	assert.True(t, c.isFresh(at, at.Add(skew)))
	assert.True(t, c.isFresh(at.Add(time.Second), at.Add(skew)), "a lagging report is good until there is an order")
	c.order(at.Add(2 * time.Second))
	assert.False(t, c.isFresh(at.Add(3*time.Second), at.Add(skew+2*time.Second)))
	assert.True(t, c.isFresh(at.Add(3*time.Second), at.Add(skew+2*time.Second+1)))
}

func TestABusyWeightStoreDelaysLoads(t *testing.T) {
	w := newWorld(true, tlwire.RoleBoth)
	w.busy = true
	r := New(w.options())
	r.Round(t.Context())
	assert.EqualValues(t, 1, w.counts[countStoreBusy])
	assert.Empty(t, w.engines[w.pool.Engines[0].Address].orders)
	w.busy = false
	w.pass(time.Second)
	r.Round(t.Context())
	assert.Len(t, w.engines[w.pool.Engines[0].Address].orders, 1)
}

// A holder that was paused wakes with its lease and its old configuration.
func TestAFormerHolderThatWakes(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint("checks ", checks), func(t *testing.T) {
			w := newWorld(checks, tlwire.RolePrefill, tlwire.RoleDecode)
			former, holder := New(w.options()), New(w.options())
			former.Round(t.Context())
			w.pass(6 * time.Second)
			for range 30 {
				holder.Round(t.Context())
				w.pass(5 * time.Second)
			}
			require.True(t, w.isAsDeclared())
			late := tlfleet.EngineOrder{Engine: w.pool.Engines[1], Order: tlwire.Order{Kind: tlwire.OrderKindLoadModel, Model: "m", Version: "1"}}
			former.pools["p"].give(t.Context(), late)
			if checks {
				assert.EqualValues(t, 1, w.counts[countOldNumber])
				assert.Nil(t, former.pools["p"].lease)
			} else {
				assert.False(t, w.isAsDeclared(), "the late order can't be stopped")
			}
			for range 30 {
				w.pass(5 * time.Second)
				holder.Round(t.Context())
			}
			assert.True(t, w.isAsDeclared(), "but it is seen and repaired")
		})
	}
}

func TestEndingGivesLeasesBack(t *testing.T) {
	w := newWorld(true, tlwire.RoleBoth)
	o := w.options()
	released := make(chan struct{})
	o.Take = func(context.Context, string) (Lease, error) {
		return Lease{Number: 1, Holds: func(time.Duration) bool { return true }, Release: func(context.Context) { close(released) }}, nil
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
