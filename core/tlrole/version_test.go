package tlrole

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlendpoint"
)

// versionedEngines returns engines, each given as its role, its version and what holds of it:
// "pv1" is a prefill engine of v1, "dv2!" a decode engine that fails requests, "dv2x" one
// that has ended, "dv2~" one that drains, "pv1>" one that changes its role, "pv1?" one that
// has not answered the order to, and "pv1*" a busy one.
func versionedEngines(text string) []Engine {
	var list []Engine
	for n, f := range strings.Fields(text) {
		e := Engine{Endpoint: tlendpoint.Endpoint{ID: f[:3] + string(rune('a'+n)), Version: f[1:3], Role: tlendpoint.Decode}, SinceOrder: time.Hour}
		if f[0] == 'p' {
			e.Role = tlendpoint.Prefill
		}
		e.IsFailing = strings.HasSuffix(f, "!") || strings.HasSuffix(f, "x")
		e.HasEnded = strings.HasSuffix(f, "x")
		e.IsDraining = strings.HasSuffix(f, "~")
		e.IsUnanswered = strings.HasSuffix(f, "?")
		e.IsMoving = strings.HasSuffix(f, ">") || e.IsUnanswered
		e.IsBusy = strings.HasSuffix(f, "*")
		if e.IsMoving {
			e.SinceOrder = time.Second
		}
		list = append(list, e)
	}
	return list
}

// planOf returns the engines that a plan moves, by the first three letters of their IDs.
func planOf(s State) string {
	var list []string
	for _, m := range Plan(DefaultOptions(), s) {
		list = append(list, m.Engine.ID[:3]+" to "+m.Role.String())
	}
	return strings.Join(list, ", ")
}

// Guards against a version that is left with prefill engines alone, whose streams are
// refused for good though its engines live (review/13).
func TestNeededVersionGetsADecodeEngine(t *testing.T) {
	v2 := " dv2 dv2 dv2 dv2 dv2 dv2 dv2 dv2"
	cases := []struct {
		name, engines string
		needs         string
		change        func(s *State)
		moves         string
	}{
		{"1 its decode engines have ended", "pv1 pv1 dv1x dv1x" + v2, "v1", nil, "pv1 to Decode"},
		{"2 they are no longer listed", "pv1 pv1" + v2, "v1", nil, "pv1 to Decode"},
		{"3 they drain", "pv1 pv1 dv1~ dv1~" + v2, "v1", nil, "pv1 to Decode"},
		{"4 they fail requests, but may live", "pv1 pv1 dv1! dv1!" + v2, "v1", nil, ""},
		{"5 one is left", "pv1 pv1 dv1x dv1" + v2, "v1", nil, ""},
		{"6 nobody needs the version", "pv1 pv1" + v2, "", nil, ""},
		{"7 an engine of it is changing its role", "pv1> pv1" + v2, "v1", nil, ""},
		{"7b one has not answered the order", "pv1? pv1" + v2, "v1", nil, "pv1 to Decode"},
		{"7c its only engine has not", "pv1? pv2 pv2" + v2, "v1", nil, ""},
		{"8 its only engine", "pv1" + v2, "v1", nil, "pv1 to Decode"},
		{"9 no engine of it lives", "dv2 dv2 pv2 pv2", "v1", nil, ""},
		{"10 its prefill engines drain", "pv1~ pv1~ pv2 pv2" + v2, "v1", nil, ""},
		{"11 an idle one comes before a busy one", "pv1* pv1 pv1*" + v2, "v1", nil, "pv1 to Decode, pv1 to Decode"},
		{"12 two versions at once", "pv1 pv3 dv2", "v1 v3", nil, "pv1 to Decode, pv3 to Decode"},
		{"13 the engines have just changed", "pv1 pv1" + v2, "v1", func(s *State) { s.SinceChange = 0 }, "pv1 to Decode"},
		{"14 the list may be incomplete", "pv1 pv1" + v2, "v1", func(s *State) { s.SinceJoin = 0 }, ""},
		{"15 other moves were made two seconds ago", "pv1 pv1" + v2, "v1", func(s *State) { s.SinceMove = 2 * time.Second }, "pv1 to Decode"},
		{"16 the work is unknown", "pv1 pv1 pv1" + v2, "v1", func(s *State) { s.PrefillWork = 0 }, "pv1 to Decode"},
		{"17 requests wait", "pv1 pv1" + v2, "v1", func(s *State) { s.Waiting = 60 }, "pv1 to Decode"},
		{"18 the service has no decode engine at all", "pv1 pv1 pv1", "", nil, "pv1 to Decode, pv1 to Decode"},
		{"19 nor any traffic", "pv1 pv1", "", func(s *State) { s.HasTraffic = false }, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := State{Engines: versionedEngines(c.engines), PrefillWork: 0.03, DecodeWork: 0.17, HasTraffic: true}
			s.SinceMove, s.SinceChange, s.SinceJoin = time.Hour, time.Hour, time.Hour
			for _, v := range strings.Fields(c.needs) {
				s.Needs = append(s.Needs, Need{Version: v})
			}
			if c.change != nil {
				c.change(&s)
			}
			assert.Equal(t, c.moves, planOf(s))
		})
	}
}

// Guards against moves that are right by the sums of all versions and leave one without its
// last decode engine, or take the last prefill engine where others can be spared.
func TestEnginesAreTakenFromTheVersionThatCanSpareThem(t *testing.T) {
	cases := []struct {
		name, engines string
		change        func(s *State)
		moves         string
	}{
		{"1 no version loses its last decode engine", "dv1 dv2* dv2* dv2* dv2* dv2* dv2* dv2*", nil, "dv2 to Prefill"},
		{"2 where each has one only, none is taken", "dv1 dv2 dv3 dv4", nil, ""},
		{"3 the version with too few prefill engines gets the next", "pv1 dv1 dv1 dv1 dv2* dv2* dv2* dv2* dv2* dv2* dv2* dv2* dv2*", func(s *State) { s.PrefillWork = 0.1 }, "dv2 to Prefill"},
		{"4 the version with too many gives one", "pv1 dv1 pv2* pv2* pv2* pv2* dv2 dv2 dv2 dv2", nil, "pv2 to Decode"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := State{Engines: versionedEngines(c.engines), PrefillWork: 0.03, DecodeWork: 0.17, HasTraffic: true}
			s.SinceMove, s.SinceChange, s.SinceJoin = time.Hour, time.Hour, time.Hour
			if c.change != nil {
				c.change(&s)
			}
			assert.Equal(t, c.moves, planOf(s))
		})
	}
}

// Guards against streams that wait for the few decode engines of their version while its
// prefill engines idle.
func TestCrowdedVersionGetsADecodeEngine(t *testing.T) {
	v2 := " pv2 dv2 dv2 dv2 dv2 dv2 dv2 dv2"
	cases := []struct {
		name, engines string
		need          Need
		sinceMove     time.Duration
		moves         string
	}{
		{"1 streams wait and a prefill engine is idle", "pv1 pv1* dv1*" + v2, Need{"v1", 3, 2 * time.Second}, time.Hour, "pv1 to Decode"},
		{"2 they have just come", "pv1 pv1 dv1*" + v2, Need{"v1", 3, 100 * time.Millisecond}, time.Hour, ""},
		{"3 none waits", "pv1 pv1 dv1*" + v2, Need{"v1", 0, 0}, time.Hour, ""},
		{"4 all prefill engines are busy", "pv1* pv1* dv1*" + v2, Need{"v1", 3, 2 * time.Second}, time.Hour, ""},
		{"5 it has one prefill engine only", "pv1 dv1*" + v2, Need{"v1", 3, 2 * time.Second}, time.Hour, ""},
		{"6 an engine was moved a moment ago", "pv1 pv1 dv1*" + v2, Need{"v1", 3, 2 * time.Second}, 2 * time.Second, ""},
		{"7 there is no other version", "pv1 pv1 dv1* dv1*", Need{"v1", 3, 2 * time.Second}, time.Hour, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := State{Engines: versionedEngines(c.engines), PrefillWork: 0.03, DecodeWork: 0.17, HasTraffic: true, Needs: []Need{c.need}, Waiting: c.need.Waiting}
			// The prefill engines of all versions together are busy.
			s.PrefillUtilisation = 0.9
			s.SinceMove, s.SinceChange, s.SinceJoin = c.sinceMove, time.Hour, time.Hour
			assert.Equal(t, c.moves, planOf(s))
		})
	}
}

// Guards against dials to the engines of a service of which nobody is in need.
func TestEndOfEnginesIsCheckedOnlyWhereAPlanDependsOnIt(t *testing.T) {
	cases := []struct {
		name, engines, need string
		checks              int
	}{
		{"1 all of a needed version fail requests", "pv1 dv1! dv1! dv2 dv2!", "v1", 2},
		{"2 one answers", "pv1 dv1! dv1 dv2 dv2!", "v1", 0},
		{"3 the version is not needed", "pv1 dv1! dv1! dv2 dv2!", "", 0},
		{"4 all of the service fail requests", "pv1 dv1! dv2!", "", 2},
		{"5 too many to check", "pv1" + strings.Repeat(" dv1!", MaxChecks+1) + " dv2", "v1", 0},
		{"6 an engine is already changing its role", "pv1> dv1! dv1! dv2", "v1", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := State{Engines: versionedEngines(c.engines), HasTraffic: true}
			if c.need != "" {
				s.Needs = []Need{{Version: c.need}}
			}
			assert.Len(t, s.ToCheck(), c.checks)
		})
	}
}

// Guards against roles that go to and fro after a version has got a decode engine back: the
// plan for all versions must not take it away again.
func TestRestoredVersionKeepsItsDecodeEngine(t *testing.T) {
	s := State{Engines: versionedEngines("pv1 pv1 dv2 dv2 dv2 dv2 dv2 dv2 dv2 dv2"), PrefillWork: 0.06, DecodeWork: 0.17, HasTraffic: true}
	s.Needs = []Need{{Version: "v1", Waiting: 40, Waited: time.Second}}
	var moved []string
	lastMove := -time.Hour
	lastOrder := map[string]time.Duration{}
	for now := time.Duration(0); now < 10*time.Minute; now += 500 * time.Millisecond {
		s.SinceMove, s.SinceChange, s.SinceJoin = now-lastMove, time.Hour, time.Hour
		for i := range s.Engines {
			e := &s.Engines[i]
			e.SinceOrder = now - lastOrder[e.ID]
			if lastOrder[e.ID] == 0 {
				e.SinceOrder = time.Hour
			}
			if e.IsMoving && e.SinceOrder >= 6*time.Second {
				e.Role, e.IsMoving = e.nextRole(), false
				s.Needs = nil
			}
		}
		for _, m := range Plan(DefaultOptions(), s) {
			moved = append(moved, m.Engine.ID[:3]+" to "+m.Role.String())
			lastMove = now
			lastOrder[m.Engine.ID] = now + 1
			for i := range s.Engines {
				s.Engines[i].IsMoving = s.Engines[i].IsMoving || s.Engines[i].ID == m.Engine.ID
			}
		}
	}
	assert.Equal(t, "pv1 to Decode", moved[0])
	assert.LessOrEqual(t, len(moved), 2)
	for _, m := range moved[1:] {
		assert.Equal(t, "dv2 to Prefill", m)
	}
}
