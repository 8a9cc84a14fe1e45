package tlorder

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlendpoint"
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
	for n := range int(d / restoreInterval) {
		if n%int(planInterval/restoreInterval) == 0 {
			o.planAll(t.Context())
		} else {
			o.restoreAll(t.Context())
		}
		w.advance(restoreInterval)
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
