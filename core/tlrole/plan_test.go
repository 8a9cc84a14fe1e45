package tlrole

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlendpoint"
)

// engines returns the given number of engines of each role, spread over three data centres.
func engines(prefill, decode int) []Engine {
	var list []Engine
	for i := range prefill + decode {
		e := tlendpoint.Endpoint{ID: fmt.Sprint("e", i), DataCentre: fmt.Sprint("d", i%3), Role: tlendpoint.Prefill}
		if i >= prefill {
			e.Role = tlendpoint.Decode
		}
		list = append(list, Engine{Endpoint: e, SinceOrder: time.Hour})
	}
	return list
}

// options returns options that call for five prefill engines of eighteen at the work of these cases.
func options() Options {
	o := DefaultOptions()
	o.Headroom = 1.2
	return o
}

func TestPlan(t *testing.T) {
	cases := []struct {
		name  string
		state State
		moves int
		role  tlendpoint.Role
	}{
		{"1 before traffic all move at once", State{Engines: engines(6, 12)}, 2, tlendpoint.Decode},
		{"2 one at a time while no request waits", State{Engines: engines(7, 11), HasTraffic: true}, 1, tlendpoint.Decode},
		{"2b none for a difference of one", State{Engines: engines(5, 13), HasTraffic: true}, 0, 0},
		{"2c the whole surplus in the first plan", State{Engines: engines(7, 11), HasTraffic: true, IsFirst: true}, 3, tlendpoint.Decode},
		{"2e half of a large surplus that is idle", State{Engines: engines(12, 6), HasTraffic: true}, 4, tlendpoint.Decode},
		{"2f one of a large surplus that is busy", State{Engines: engines(12, 6), HasTraffic: true, PrefillUtilisation: 0.9}, 1, tlendpoint.Decode},
		{"2d none in the first plan while requests wait and prefill engines are busy", State{Engines: engines(7, 11), HasTraffic: true, IsFirst: true, Waiting: 1, PrefillUtilisation: 0.9}, 0, 0},
		{"3 none within the move interval", State{Engines: engines(7, 11), HasTraffic: true, SinceMove: time.Second}, 0, 0},
		{"4 no busy prefill engine while requests wait", State{Engines: engines(7, 11), HasTraffic: true, Waiting: 9, PrefillUtilisation: 0.9}, 0, 0},
		{"5 an idle prefill engine while requests wait", State{Engines: engines(7, 11), HasTraffic: true, Waiting: 9, PrefillUtilisation: 0.2}, 1, tlendpoint.Decode},
		{"6 no decode engine in a burst", State{Engines: engines(2, 16), HasTraffic: true, Waiting: 9}, 0, 0},
		{"7 a decode engine while no request waits", State{Engines: engines(2, 16), HasTraffic: true}, 1, tlendpoint.Prefill},
		{"8 the minimum of prefill engines stays", State{Engines: engines(2, 3), HasTraffic: true}, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := c.state
			s.PrefillWork, s.DecodeWork, s.SinceChange = 0.1, 0.4, time.Hour
			if s.SinceMove == 0 {
				s.SinceMove = time.Hour
			}
			moves := Plan(options(), s)
			assert.Len(t, moves, c.moves)
			for _, m := range moves {
				assert.Equal(t, c.role, m.Role)
			}
		})
	}
}

func TestPlanMovesNothingWhileTheWorkOfARequestIsUnknown(t *testing.T) {
	for _, work := range [][2]float64{{0, 0}, {0.1, 0}, {0, 0.4}} {
		for _, hasTraffic := range []bool{false, true} {
			s := State{Engines: engines(9, 9), HasTraffic: hasTraffic, SinceMove: time.Hour, SinceChange: time.Hour, IsFirst: true}
			s.PrefillWork, s.DecodeWork = work[0], work[1]
			assert.Empty(t, Plan(options(), s))
		}
	}
}

func TestPlanMovesNothingUntilEngineListSettles(t *testing.T) {
	s := State{Engines: engines(1, 5), PrefillWork: 0.1, DecodeWork: 0.4, SinceMove: time.Hour}
	assert.Empty(t, Plan(options(), s))
}

func TestMovingEngineCountsForItsNewRole(t *testing.T) {
	list := engines(6, 12)
	list[0].IsMoving, list[1].IsMoving = true, true
	s := State{Engines: list, PrefillWork: 0.1, DecodeWork: 0.4, SinceMove: time.Hour, SinceChange: time.Hour}
	assert.Empty(t, Plan(options(), s))
}

func TestEngineIsNotOrderedAgainWithinOrderInterval(t *testing.T) {
	list := engines(6, 12)
	for i := range list {
		list[i].SinceOrder = time.Second
	}
	s := State{Engines: list, PrefillWork: 0.1, DecodeWork: 0.4, SinceMove: time.Hour, SinceChange: time.Hour}
	assert.Empty(t, Plan(options(), s))
}

// Guards against slow engines that stay prefill engines while fast ones are moved.
func TestSlowPrefillEnginesAndFastDecodeEnginesChangeRoles(t *testing.T) {
	s := State{Engines: engines(4, 4)}
	for n, slowness := range []float64{1, 1.6, 0.6, 0, 1, 1.6, 0.6, 0} {
		s.Engines[n].Slowness = slowness
	}
	assert.Equal(t, "e1", s.moves(options(), 1, tlendpoint.Prefill, tlendpoint.Decode)[0].Engine.ID)
	assert.Equal(t, "e6", s.moves(options(), 1, tlendpoint.Decode, tlendpoint.Prefill)[0].Engine.ID)
	s.Engines[1].IsBusy, s.Engines[6].IsBusy = true, true
	assert.NotEqual(t, "e1", s.moves(options(), 1, tlendpoint.Prefill, tlendpoint.Decode)[0].Engine.ID, "one that is idle is moved first")
	assert.NotEqual(t, "e6", s.moves(options(), 1, tlendpoint.Decode, tlendpoint.Prefill)[0].Engine.ID)
}
