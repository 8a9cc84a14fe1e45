package tlmember

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"trefoillanding/core/tlwire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var timeouts = Timeouts{SuspectAfter: 3 * time.Second, GoneAfter: 6 * time.Second}

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func instanceList(names ...string) tlwire.InstanceList {
	var l tlwire.InstanceList
	for _, n := range names {
		l.Instances = append(l.Instances, tlwire.Instance{
			Name: n, Kind: tlwire.InstanceKindEntry, DataCentre: n[:1], State: tlwire.InstanceStateLive,
		})
	}
	return l
}

func newListedView(self string, names ...string) *View {
	v := New(self, timeouts)
	v.SetInstances(at(0), instanceList(names...))
	v.Tick(at(0))
	return v
}

func TestOwnerLiveness(t *testing.T) {
	cases := []struct {
		name  string
		owner string
		steps func(v *View)
		at    float64
		want  Liveness
	}{
		{"1 listed and never heard from", "b1", func(*View) {}, 1, Alive},
		{"2 unknown", "z9", func(*View) {}, 1, Suspected},
		{"3 unknown for GoneAfter", "z9", func(v *View) { v.OwnerLiveness("z9", 1, at(1)) }, 7, Gone},
		{"4 unreachable for less than GoneAfter", "b1", func(v *View) { v.Suspect(at(1), "b1") }, 6.9, Suspected},
		{"5 unreachable for GoneAfter", "b1", func(v *View) { v.Suspect(at(1), "b1") }, 7, Gone},
		{"6 heard by a peer after the suspicion", "b1", func(v *View) {
			v.Suspect(at(1), "b1")
			v.ApplySighting(at(5), tlwire.Sighting{Name: "b1", Incarnation: 1, HeardAgo: time.Second})
		}, 9, Alive},
		{"7 heard by a peer before the suspicion", "b1", func(v *View) {
			v.Suspect(at(3), "b1")
			v.ApplySighting(at(5), tlwire.Sighting{Name: "b1", Incarnation: 1, HeardAgo: 4 * time.Second})
		}, 9, Gone},
		{"8 restarted", "b1", func(v *View) { v.RecordHeard(at(1), "b1", 2, false) }, 1, Gone},
		{"9 missing from the list", "b1", func(v *View) { v.SetInstances(at(1), instanceList("a1")) }, 2, Suspected},
		{"10 missing from the list for GoneAfter", "b1", func(v *View) { v.SetInstances(at(1), instanceList("a1")) }, 7, Gone},
		{"11 missing from a wrong list, but heard from", "b1", func(v *View) {
			v.SetInstances(at(1), instanceList("a1"))
			v.RecordHeard(at(2), "b1", 1, false)
		}, 9, Alive},
		{"12 suspected earlier by a peer", "b1", func(v *View) {
			v.ApplySighting(at(5), tlwire.Sighting{Name: "b1", Incarnation: 1, DoubtedFor: 4 * time.Second})
		}, 7, Gone},
		{"13 suspected by a peer before it was last heard from", "b1", func(v *View) {
			v.RecordHeard(at(4), "b1", 1, false)
			v.ApplySighting(at(5), tlwire.Sighting{Name: "b1", Incarnation: 1, DoubtedFor: 4 * time.Second})
		}, 9, Alive},
		{"14 earlier incarnation of this instance", "a1", func(v *View) { v.Refute(at(0), 2) }, 1, Gone},
		{"15 heard from after it counted as gone", "b1", func(v *View) {
			v.Suspect(at(1), "b1")
			v.RecordHeard(at(20), "b1", 1, false)
		}, 21, Alive},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := newListedView("a1", "a1", "a2", "b1")
			c.steps(v)
			assert.Equal(t, c.want, v.OwnerLiveness(c.owner, 1, at(c.at)))
		})
	}
}

func TestTickSuspectsSilentInstancesUnlessItselfPaused(t *testing.T) {
	v := newListedView("a1", "a1", "a2", "a3")
	for s := 1.0; s <= 5; s++ {
		v.RecordHeard(at(s), "a2", 1, false)
		assert.False(t, v.Tick(at(s)))
	}
	assert.Equal(t, []string{"a3"}, v.SuspectsToConfirm(at(5)))
	assert.Len(t, v.Live(), 2)

	v = newListedView("a1", "a1", "a2", "a3")
	v.Tick(at(1))
	assert.True(t, v.Tick(at(60)), "the instance itself was paused")
	assert.False(t, v.Tick(at(61)))
	assert.Empty(t, v.SuspectsToConfirm(at(61)))
}

func TestDrainingInstancesAreNotHomes(t *testing.T) {
	v := newListedView("a1", "a1", "a2")
	v.RecordHeard(at(1), "a2", 1, true)
	assert.Equal(t, "a1", v.Home("p", "a"))
	v.RecordHeard(at(2), "a2", 2, false)
	assert.Len(t, v.Live(), 2)
	l := instanceList("a1", "a2")
	l.Instances[0].State = tlwire.InstanceStateLeaving
	v.SetInstances(at(3), l)
	assert.Equal(t, "a2", v.Home("p", "a"))
	v.Suspect(at(4), "a2")
	assert.Equal(t, "a1", v.Home("p", "a"), "self if no instance is live")
}

func TestPoolsMoveOnlyWhenTheirHomeIsSuspected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 30).Draw(t, "instances")
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("%c%d", 'a'+i%3, i))
		}
		v := newListedView(names[0], names...)
		gone := rapid.SampledFrom(names[1:]).Draw(t, "gone")
		before := map[string]string{}
		for i := range 40 {
			p := fmt.Sprint("pool", i)
			before[p] = v.Home(p, "b")
			assert.Equal(t, before[p] == names[0], v.IsHome(p, "b"))
			assert.Equal(t, v.Home(p, "a") == names[0], v.IsHome(p, "a"))
			assert.Equal(t, v.Home(p, "elsewhere") == names[0], v.IsHome(p, "elsewhere"))
		}
		v.Suspect(at(1), gone)
		for p, home := range before {
			if home != gone {
				assert.Equal(t, home, v.Home(p, "b"))
			} else {
				assert.NotEqual(t, gone, v.Home(p, "b"))
			}
		}
	})
}

func TestChangesReachAllInstancesInLogarithmicTime(t *testing.T) {
	for _, c := range []struct{ n, rounds int }{{2, 2}, {7, 8}, {50, 20}, {760, 60}} {
		var names []string
		for i := range c.n {
			names = append(names, fmt.Sprintf("%c%03d", 'a'+i%10, i))
		}
		views := map[string]*View{}
		for _, n := range names {
			views[n] = newListedView(n, names...)
		}
		informed := map[string]bool{names[0]: true}
		for round := 0; len(informed) < c.n; round++ {
			assert.Less(t, round, c.rounds)
			var targets []string
			for n := range informed {
				steady, far := views[n].Neighbours(round)
				targets = append(append(targets, steady...), far)
				assert.LessOrEqual(t, len(steady), steadyNeighbours)
			}
			for _, n := range targets {
				informed[n] = true
			}
		}
	}
}

func TestGossipTableForwardsEachValueLimitedTimes(t *testing.T) {
	g := NewGossipTable[int]()
	g.Put("a", 1, at(1))
	g.Put("b", 2, at(2))
	g.Put("a", 0, at(0))
	n, when, _ := g.Get("a")
	assert.Equal(t, 1, n)
	assert.Equal(t, at(1), when)
	assert.Equal(t, []string{"b"}, g.NextToSend(1))
	for range maxForwards {
		g.NextToSend(2)
	}
	assert.Empty(t, g.NextToSend(2))
	g.Put("a", 3, at(3))
	assert.Equal(t, []string{"a"}, g.NextToSend(2))
	g.EvictBefore(at(3))
	_, _, ok := g.Get("b")
	assert.False(t, ok)
}

func TestReregisteredInstanceIsNoLongerSuspected(t *testing.T) {
	v := New("a", Timeouts{SuspectAfter: time.Second, GoneAfter: time.Second})
	l := instanceList("a", "b")
	l.Instances[1].Incarnation = 3
	v.SetInstances(at(0), l)
	v.RecordHeard(at(1), "b", 3, true)
	v.Suspect(at(2), "b")
	v.SetInstances(at(3), l)
	assert.Len(t, v.Live(), 1, "an unchanged entry does not clear the suspicion")
	l.Instances[1].Incarnation = 9
	v.SetInstances(at(4), l)
	assert.Len(t, v.Live(), 2)
}

func TestOldestInstanceKeepsPurposeUntilItEnds(t *testing.T) {
	v := New("a", Timeouts{SuspectAfter: time.Second, GoneAfter: time.Second})
	l := instanceList("a", "b", "c")
	for i := range l.Instances {
		l.Instances[i].Incarnation = uint64(5 + i)
	}
	v.SetInstances(at(0), l)
	assert.Equal(t, "a", v.Oldest("p", 3))
	l.Instances[0].Incarnation = 9
	v.SetInstances(at(1), l)
	assert.Equal(t, "b", v.Oldest("p", 3), "a restarted instance does not take the purpose back")
	v.Suspect(at(2), "b")
	assert.Equal(t, "c", v.Oldest("p", 3))
}

// An instance that had just joined, or had been paused, restarted its count of
// the others' silence and reported this to peers as having heard from them, dead
// ones included.
func TestRestartOfSilenceCountIsNotReportedAsSighting(t *testing.T) {
	v := newListedView("a", "a", "b")
	for second := range 3 {
		v.Tick(at(float64(second) / 10))
	}
	assert.Zero(t, v.Sighting(at(0.3), "b").HeardAgo)
	v.RecordHeard(at(1), "b", 1, false)
	v.Tick(at(60))
	assert.Equal(t, 60*time.Second, v.Sighting(at(61), "b").HeardAgo)
}

func TestOldestIsOneOfTheLargestInstances(t *testing.T) {
	v := New("a", Timeouts{SuspectAfter: time.Second, GoneAfter: time.Second})
	l := instanceList("a", "b", "c", "d")
	for i := range l.Instances {
		l.Instances[i].Incarnation, l.Instances[i].Capacity = uint64(1+i), 0.2
	}
	l.Instances[2].Capacity, l.Instances[3].Capacity = 0.8, 0.8
	v.SetInstances(at(0), l)
	assert.Equal(t, "c", v.Oldest("p", 3))
	assert.Len(t, v.Largest("p", 5), 2)
	v.Suspect(at(1), "c")
	v.Suspect(at(1), "d")
	assert.Equal(t, "a", v.Oldest("p", 3), "small instances serve if no larger one is live")
}

// Where an instance that does not answer is passed over before it is known to be gone,
// the one that is asked instead has to be the one that follows it.
func TestSuccessorIsTheOldestOnceTheFirstIsGone(t *testing.T) {
	for seed := range uint64(50) {
		v := New("z", Timeouts{SuspectAfter: time.Second, GoneAfter: time.Second})
		l := instanceList("a", "b", "c", "d", "e", "f")
		for i := range l.Instances {
			l.Instances[i].Incarnation = (seed*7+uint64(i)*5)%13 + 1
		}
		v.SetInstances(at(0), l)
		next := v.Successors("p", 3, 4)
		require.Len(t, next, 4)
		for _, name := range next {
			require.Equal(t, name, v.Oldest("p", 3), "seed %d", seed)
			v.Suspect(at(1), name)
		}
	}
}
