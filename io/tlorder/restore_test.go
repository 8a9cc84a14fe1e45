package tlorder

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlkeyed"
	"trefoillanding/core/tlrole"
)

// lostVersionState returns the state of a service of which streams need v1: p0 and p1 are its
// prefill engines, d0 its decode engine, which fails requests. Six engines of v2 decode.
func lostVersionState(string) tlrole.State {
	s := tlrole.State{PrefillWork: 0.03, DecodeWork: 0.17, HasTraffic: true, Needs: []tlrole.Need{{Version: "v1", Waiting: 9}}}
	add := func(id, version string, r tlendpoint.Role, isFailing bool) {
		s.Engines = append(s.Engines, tlrole.Engine{Endpoint: tlendpoint.Endpoint{ID: id, Version: version, Role: r}, IsFailing: isFailing})
	}
	add("p0", "v1", tlendpoint.Prefill, false)
	add("p1", "v1", tlendpoint.Prefill, false)
	add("d0", "v1", tlendpoint.Decode, true)
	for n := range 6 {
		add(fmt.Sprint("e", n), "v2", tlendpoint.Decode, false)
	}
	return s
}

// lostVersion returns a Controller of that service, which has seen its engines for a while.
func (w *testbed) lostVersion(holder string) *Controller {
	o := w.controller(holder)
	o.o.Roles = lostVersionState
	o.o.Services = func() []string { return []string{"s"} }
	o.o.LacksDecoder = func(string) bool { return true }
	o.o.HasEnded = func(_ context.Context, e tlendpoint.Endpoint) bool { return e.ID == "d0" }
	w.settle(o)
	return o
}

// play has a Controller plan as Run does, for a time.
func (w *testbed) play(t *testing.T, o *Controller, d time.Duration) {
	for n := range int(d / restoreCheckInterval) {
		if n%int(planInterval/restoreCheckInterval) == 0 {
			o.planAll(t.Context())
		} else {
			o.restoreAll(t.Context())
		}
		w.advance(restoreCheckInterval)
	}
}

func (w *testbed) ordered() []string {
	var list []string
	for _, k := range w.orders {
		list = append(list, k.engine)
	}
	return list
}

// Guards against an order that waits until the entry of an engine that has ended lapses.
func TestVersionWhoseDecodeEnginesHaveEndedGetsAnotherAtOnce(t *testing.T) {
	cases := []struct {
		name     string
		hasEnded bool
		orders   []string
	}{
		{"1 the engine refuses connections", true, []string{"p0"}},
		{"2 it only fails requests", false, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestbed()
			o := w.lostVersion("a")
			o.o.HasEnded = func(context.Context, tlendpoint.Endpoint) bool { return c.hasEnded }
			w.play(t, o, 10*time.Second)
			assert.Equal(t, c.orders, w.ordered())
		})
	}
}

// Guards against connections to engines that live and only fail requests, ten times a second:
// each may hold a slot there.
func TestEndOfEnginesThatFailIsCheckedSeldom(t *testing.T) {
	w := newTestbed()
	o := w.lostVersion("a")
	checks := 0
	o.o.HasEnded = func(context.Context, tlendpoint.Endpoint) bool {
		checks++
		return false
	}
	w.play(t, o, 10*time.Second)
	assert.LessOrEqual(t, checks, int(10*time.Second/endCheckInterval)+1)
	assert.Greater(t, checks, 10)
}

// Guards against an engine that counts as changing its role though it never got the order, so
// that no other engine is ordered for 20 s.
func TestAnotherEngineIsOrderedWhereTheFirstGetsNoOrder(t *testing.T) {
	failing := func(list ...error) func(*Controller) {
		return func(o *Controller) {
			order := o.o.Order
			o.o.Order = func(ctx context.Context, e tlendpoint.Endpoint, r tlendpoint.Role, fence uint64, orders int64) error {
				if len(list) > 0 {
					err := list[0]
					list = list[1:]
					return err
				}
				return order(ctx, e, r, fence, orders)
			}
		}
	}
	loadOf := func(id string, l tlendpoint.Load, err error) func(*Controller) {
		return func(o *Controller) {
			o.o.Load = func(_ context.Context, e tlendpoint.Endpoint) (tlendpoint.Load, error) {
				if e.ID == id {
					return l, err
				}
				return tlendpoint.Load{}, nil
			}
		}
	}
	cases := []struct {
		name   string
		change func(*Controller)
		orders []string
		kept   []string
	}{
		{"1 its load can't be had", loadOf("p0", tlendpoint.Load{}, errors.New("no route")), []string{"p1"}, []string{"p0"}},
		{"2 it refuses the order", failing(fmt.Errorf("%w: status 412", ErrRefused)), []string{"p1"}, []string{"p0"}},
		{"3 it may have got the order", failing(errors.New("no answer")), []string{"p1"}, nil},
		{"4 it is carrying out the order of an earlier holder", loadOf("p0", tlendpoint.Load{IsCarryingOut: true}, nil), nil, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestbed()
			o := w.lostVersion("a")
			var kept []string
			o.o.MarkKeepingRole = func(_, engine string) { kept = append(kept, engine) }
			c.change(o)
			w.play(t, o, 5*time.Second)
			assert.Equal(t, c.orders, w.ordered())
			assert.Equal(t, c.kept, kept)
		})
	}
}

// Guards against streams that wait for the lease of a holder that is long gone: a new home
// counts the time from when it became the home, not from the first order that it has to give.
func TestNewHomeGivesOrdersOnceTheLeaseHasRunOut(t *testing.T) {
	cases := []struct {
		name string
		// homeFor is how long the instance has been the home when the version is lost.
		homeFor time.Duration
		within  time.Duration
	}{
		{"1 it has been the home for long", 10 * time.Second, 500 * time.Millisecond},
		{"2 it becomes the home at that moment", 0, 5500 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestbed()
			_, err := w.log().Append(t.Context(), "s", []byte("former"), 0)
			require.NoError(t, err)
			o := w.lostVersion("a")
			// No request needs v1 yet.
			o.o.Roles = func(s string) tlrole.State {
				k := lostVersionState(s)
				k.Needs = nil
				return k
			}
			w.play(t, o, c.homeFor)
			o.o.Roles = lostVersionState
			lost := w.clock()
			w.settleEngines(o)
			w.play(t, o, 12*time.Second)
			require.NotEmpty(t, w.orders)
			assert.LessOrEqual(t, w.orders[0].at.Sub(lost), c.within)
			if c.homeFor == 0 {
				assert.GreaterOrEqual(t, w.orders[0].at.Sub(lost), 3*time.Second+batchMaxAge)
			}
		})
	}
}

// Guards against calls to the store by instances that have no orders to give.
func TestHoldersAreReadOnceAndOnlyForServicesWithEngines(t *testing.T) {
	cases := []struct {
		name  string
		state tlrole.State
		reads int
	}{
		{"1 the service has engines", unmeasuredState(8), 1},
		{"2 it has none", tlrole.State{}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestbed()
			o := w.controller("a")
			o.o.Services = func() []string { return []string{"s"} }
			o.o.LacksDecoder = func(string) bool { return false }
			o.o.Roles = func(string) tlrole.State { return c.state }
			reads := 0
			newest := o.fence.log.Newest
			o.fence.log.Newest = func(ctx context.Context) (tlkeyed.Batch, error) {
				reads++
				return newest(ctx)
			}
			w.play(t, o, 10*time.Second)
			assert.Equal(t, c.reads, reads)
		})
	}
}

// unmeasuredState returns a state with so many decode engines whose work is unknown.
func unmeasuredState(n int) tlrole.State {
	var s tlrole.State
	for k := range n {
		s.Engines = append(s.Engines, tlrole.Engine{Endpoint: tlendpoint.Endpoint{ID: fmt.Sprint("e", k), Role: tlendpoint.Decode}})
	}
	return s
}

// settleEngines has a Controller take its present engines for settled.
func (w *testbed) settleEngines(o *Controller) {
	o.engineCounts["s"] = engineCount{engines: len(o.o.Roles("s").Engines)}
}
