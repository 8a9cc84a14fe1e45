package tlmember

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"trefoillanding/core/tlwire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var times = Times{SuspectAfter: 3 * time.Second, GoneAfter: 6 * time.Second}

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func list(names ...string) tlwire.InstanceList {
	var l tlwire.InstanceList
	for _, n := range names {
		l.Instances = append(l.Instances, tlwire.Instance{
			Name: n, Kind: tlwire.InstanceKindEntry, DataCentre: n[:1], State: tlwire.InstanceStateLive,
		})
	}
	return l
}

func listed(self string, names ...string) *View {
	v := New(self, times)
	v.SetInstances(at(0), list(names...))
	v.Tick(at(0))
	return v
}

func TestOwnerFate(t *testing.T) {
	cases := []struct {
		name  string
		owner string
		steps func(v *View)
		at    float64
		want  Fate
	}{
		{"1 listed and never heard", "b1", func(*View) {}, 1, Alive},
		{"2 unknown", "z9", func(*View) {}, 1, Suspected},
		{"3 unknown for long", "z9", func(v *View) { v.OwnerFate("z9", 1, at(1)) }, 7, Gone},
		{"4 unreachable is not gone at once", "b1", func(v *View) { v.Doubt(at(1), "b1") }, 6.9, Suspected},
		{"5 unreachable for long", "b1", func(v *View) { v.Doubt(at(1), "b1") }, 7, Gone},
		{"6 another instance heard it", "b1", func(v *View) {
			v.Doubt(at(1), "b1")
			v.Told(at(5), tlwire.Sighting{Name: "b1", Incarnation: 1, HeardAgo: time.Second})
		}, 9, Alive},
		{"7 another instance heard it before the doubt", "b1", func(v *View) {
			v.Doubt(at(3), "b1")
			v.Told(at(5), tlwire.Sighting{Name: "b1", Incarnation: 1, HeardAgo: 4 * time.Second})
		}, 9, Gone},
		{"8 restarted", "b1", func(v *View) { v.Heard(at(1), "b1", 2, false) }, 1, Gone},
		{"9 gone from the list", "b1", func(v *View) { v.SetInstances(at(1), list("a1")) }, 2, Suspected},
		{"10 gone from the list for long", "b1", func(v *View) { v.SetInstances(at(1), list("a1")) }, 7, Gone},
		{"11 gone from a wrong list, but heard", "b1", func(v *View) {
			v.SetInstances(at(1), list("a1"))
			v.Heard(at(2), "b1", 1, false)
		}, 9, Alive},
		{"12 told of a doubt that others have had for a while", "b1", func(v *View) {
			v.Told(at(5), tlwire.Sighting{Name: "b1", Incarnation: 1, DoubtedFor: 4 * time.Second})
		}, 7, Gone},
		{"13 told of a doubt older than the last hearing", "b1", func(v *View) {
			v.Heard(at(4), "b1", 1, false)
			v.Told(at(5), tlwire.Sighting{Name: "b1", Incarnation: 1, DoubtedFor: 4 * time.Second})
		}, 9, Alive},
		{"14 this instance's own earlier life", "a1", func(v *View) { v.Refute(at(0), 2) }, 1, Gone},
		{"15 wakes after it was taken for gone", "b1", func(v *View) {
			v.Doubt(at(1), "b1")
			v.Heard(at(20), "b1", 1, false)
		}, 21, Alive},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := listed("a1", "a1", "a2", "b1")
			c.steps(v)
			assert.Equal(t, c.want, v.OwnerFate(c.owner, 1, at(c.at)))
		})
	}
}

func TestTickDoubtsTheSilentUnlessItWasPausedItself(t *testing.T) {
	v := listed("a1", "a1", "a2", "a3")
	for s := 1.0; s <= 5; s++ {
		v.Heard(at(s), "a2", 1, false)
		assert.False(t, v.Tick(at(s)))
	}
	assert.Equal(t, []string{"a3"}, v.Doubted(at(5)))
	assert.Len(t, v.Live(), 2)

	v = listed("a1", "a1", "a2", "a3")
	v.Tick(at(1))
	assert.True(t, v.Tick(at(60)), "it was paused")
	assert.False(t, v.Tick(at(61)))
	assert.Empty(t, v.Doubted(at(61)))
}

func TestDrainingInstancesAreNoHomes(t *testing.T) {
	v := listed("a1", "a1", "a2")
	v.Heard(at(1), "a2", 1, true)
	assert.Equal(t, "a1", v.Home("p", "a"))
	v.Heard(at(2), "a2", 2, false)
	assert.Len(t, v.Live(), 2)
	l := list("a1", "a2")
	l.Instances[0].State = tlwire.InstanceStateLeaving
	v.SetInstances(at(3), l)
	assert.Equal(t, "a2", v.Home("p", "a"))
	v.Doubt(at(4), "a2")
	assert.Equal(t, "a1", v.Home("p", "a"), "this instance, when nobody is left")
}

func TestHomesMoveOnlyWithTheirInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 30).Draw(t, "instances")
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("%c%d", 'a'+i%3, i))
		}
		v := listed(names[0], names...)
		gone := rapid.SampledFrom(names[1:]).Draw(t, "gone")
		before := map[string]string{}
		for i := range 40 {
			p := fmt.Sprint("pool", i)
			before[p] = v.Home(p, "b")
			assert.Equal(t, before[p] == names[0], v.IsHome(p, "b"))
			assert.Equal(t, v.Home(p, "a") == names[0], v.IsHome(p, "a"))
			assert.Equal(t, v.Home(p, "elsewhere") == names[0], v.IsHome(p, "elsewhere"))
		}
		v.Doubt(at(1), gone)
		for p, home := range before {
			if home != gone {
				assert.Equal(t, home, v.Home(p, "b"))
			} else {
				assert.NotEqual(t, gone, v.Home(p, "b"))
			}
		}
	})
}

func TestNewsReachEveryoneInLogarithmicTime(t *testing.T) {
	for _, c := range []struct{ n, rounds int }{{2, 2}, {7, 8}, {50, 20}, {760, 60}} {
		var names []string
		for i := range c.n {
			names = append(names, fmt.Sprintf("%c%03d", 'a'+i%10, i))
		}
		views := map[string]*View{}
		for _, n := range names {
			views[n] = listed(n, names...)
		}
		knows := map[string]bool{names[0]: true}
		for round := 0; len(knows) < c.n; round++ {
			assert.Less(t, round, c.rounds)
			var told []string
			for n := range knows {
				steady, far := views[n].Neighbours(round)
				told = append(append(told, steady...), far)
				assert.LessOrEqual(t, len(steady), steadyNeighbours)
			}
			for _, n := range told {
				knows[n] = true
			}
		}
	}
}

func TestBoardTellsEachFigureAFewTimes(t *testing.T) {
	b := NewBoard[int]()
	b.Put("a", 1, at(1))
	b.Put("b", 2, at(2))
	b.Put("a", 0, at(0))
	n, when, _ := b.Get("a")
	assert.Equal(t, 1, n)
	assert.Equal(t, at(1), when)
	assert.Equal(t, []string{"b"}, b.NextToSend(1))
	for range forwards {
		b.NextToSend(2)
	}
	assert.Empty(t, b.NextToSend(2))
	b.Put("a", 3, at(3))
	assert.Equal(t, []string{"a"}, b.NextToSend(2))
	b.Forget(at(3))
	_, _, ok := b.Get("b")
	assert.False(t, ok)
}

func TestAnInstanceThatWritesItselfDownAnewIsNotDoubtedAnyMore(t *testing.T) {
	v := New("a", Times{SuspectAfter: time.Second, GoneAfter: time.Second})
	l := list("a", "b")
	l.Instances[1].Incarnation = 3
	v.SetInstances(at(0), l)
	v.Heard(at(1), "b", 3, true)
	v.Doubt(at(2), "b")
	v.SetInstances(at(3), l)
	assert.Len(t, v.Live(), 1, "the same entry is no news")
	l.Instances[1].Incarnation = 9
	v.SetInstances(at(4), l)
	assert.Len(t, v.Live(), 2)
}

func TestTheOldestCandidateHasAPurposeUntilItEnds(t *testing.T) {
	v := New("a", Times{SuspectAfter: time.Second, GoneAfter: time.Second})
	l := list("a", "b", "c")
	for i := range l.Instances {
		l.Instances[i].Incarnation = uint64(5 + i)
	}
	v.SetInstances(at(0), l)
	assert.Equal(t, "a", v.Oldest("p", 3))
	l.Instances[0].Incarnation = 9
	v.SetInstances(at(1), l)
	assert.Equal(t, "b", v.Oldest("p", 3), "one that started anew does not take it back")
	v.Doubt(at(2), "b")
	assert.Equal(t, "c", v.Oldest("p", 3))
}

// An instance that joined, or was paused, once told others that it had heard a
// dead one just now, since its own patience began anew.
func TestPatienceThatBeginsAnewIsNoSightingOfOthers(t *testing.T) {
	v := listed("a", "a", "b")
	for second := range 3 {
		v.Tick(at(float64(second) / 10))
	}
	assert.Zero(t, v.Sighting(at(0.3), "b").HeardAgo)
	v.Heard(at(1), "b", 1, false)
	v.Tick(at(60))
	assert.Equal(t, 60*time.Second, v.Sighting(at(61), "b").HeardAgo)
}

func TestWorkForManyGoesToTheStrongest(t *testing.T) {
	v := New("a", Times{SuspectAfter: time.Second, GoneAfter: time.Second})
	l := list("a", "b", "c", "d")
	for i := range l.Instances {
		l.Instances[i].Incarnation, l.Instances[i].Capacity = uint64(1+i), 0.2
	}
	l.Instances[2].Capacity, l.Instances[3].Capacity = 0.8, 0.8
	v.SetInstances(at(0), l)
	assert.Equal(t, "c", v.Oldest("p", 3))
	assert.Len(t, v.Strongest("p", 5), 2)
	v.Doubt(at(1), "c")
	v.Doubt(at(1), "d")
	assert.Equal(t, "a", v.Oldest("p", 3), "the weak ones do where no other is live")
}
