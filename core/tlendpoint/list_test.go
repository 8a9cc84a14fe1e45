package tlendpoint

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

func ids(l *List) []string {
	var all []string
	for _, e := range l.All() {
		all = append(all, e.ID)
	}
	return all
}

func TestEntryThatLapsesDuringOutageIsKeptForGracePeriod(t *testing.T) {
	l := NewList()
	l.Put(Endpoint{ID: "a"})
	l.Put(Endpoint{ID: "b"})
	l.Put(Endpoint{ID: "c"})
	l.Remove("a", time.Time{})
	assert.Equal(t, []string{"b", "c"}, ids(l))
	l.Remove("b", start.Add(OutageGrace))
	l.Remove("c", start.Add(OutageGrace))
	assert.False(t, l.Expire(start.Add(time.Second)))
	assert.Equal(t, []string{"b", "c"}, ids(l))
	l.Put(Endpoint{ID: "c"})
	assert.True(t, l.Expire(start.Add(OutageGrace)))
	assert.Equal(t, []string{"c"}, ids(l), "an entry that was put again stays, the other is removed")
}

func TestSecondRemoveDoesNotExtendGracePeriod(t *testing.T) {
	l := NewList()
	l.Put(Endpoint{ID: "a"})
	l.Remove("a", start.Add(time.Second))
	l.Remove("a", start.Add(time.Hour))
	assert.True(t, l.Expire(start.Add(time.Second)))
	assert.Empty(t, ids(l))
}

func TestEntryThatALogShowsAgainTakesNothingBackIntoUse(t *testing.T) {
	ready := Endpoint{ID: "e", Incarnation: 1, Sequence: 5}
	with := func(sequence, incarnation int64, isDraining bool) Endpoint {
		e := ready
		e.Sequence, e.Incarnation, e.IsDraining = sequence, incarnation, isDraining
		return e
	}
	cases := []struct {
		name     string
		removed  bool
		again    Endpoint
		isUsable bool
	}{
		{"1 ready again after draining", false, with(5, 1, false), false},
		{"2 a later entry, still draining by what it said", false, with(8, 1, false), false},
		{"3 a restart after draining", false, with(1, 2, false), true},
		{"4 removed, and an old entry", true, with(5, 1, false), false},
		{"5 removed, and the last entry", true, with(7, 1, false), false},
		{"6 removed, and written again since", true, with(8, 1, false), true},
		{"7 removed, and restarted", true, with(1, 2, false), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := NewList()
			l.Put(with(7, 1, !c.removed))
			if c.removed {
				l.Remove("e", time.Time{})
			}
			l.Put(c.again)
			usable := 0
			for _, e := range l.All() {
				if !e.IsDraining {
					usable++
				}
			}
			assert.Equal(t, c.isUsable, usable == 1)
		})
	}
}
