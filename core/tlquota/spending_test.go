package tlquota

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var (
	first  = Home{Name: "a", Incarnation: 1}
	second = Home{Name: "b", Incarnation: 2}
	own    = Home{}
)

func at(d time.Duration) time.Time {
	return start.Add(d)
}

// costs returns what a home is told.
func costs(t Told) (sum float64) {
	for _, s := range t.Spent {
		sum += s.Cost
	}
	return sum
}

// Guards against a home that counts twice what it has granted or was told, or never hears of it.
func TestHomeIsToldOnceWhatItDoesNotKnow(t *testing.T) {
	s := NewSpending(window)
	s.Add(at(0), "o", first, 1, 10)
	s.Add(at(0), "o", own, 1, 5)
	assert.Equal(t, []Spent{{time.Second, 5, false}}, s.Tell(at(time.Second), "o", first, 1).Spent)
	assert.Empty(t, s.Tell(at(time.Second), "o", first, 1).Spent, "told before")
	assert.Equal(t, []Spent{{time.Second, 10, true}, {time.Second, 5, false}}, s.Tell(at(time.Second), "o", second, 1).Spent)
	s.Add(at(time.Second), "o", second, 1, 7)
	assert.Equal(t, 7.0, costs(s.Tell(at(time.Second), "o", first, 1)), "a home that is one again")
	assert.Equal(t, 17.0+5, costs(s.Tell(at(time.Second), "o", Home{Name: "a", Incarnation: 3}, 1)), "its next process knows nothing")
	assert.Empty(t, s.Tell(at(time.Second), "other", first, 1).Spent)
	assert.Equal(t, 7.0, costs(s.Tell(at(window+time.Second/2), "o", Home{Name: "c"}, 1)), "the rest is older than the window")
}

// Guards against a question without an answer that takes what it told with it.
func TestWhatWasToldWithoutAnAnswerIsToldAgain(t *testing.T) {
	s := NewSpending(window)
	s.Add(at(0), "o", own, 1, 5)
	assert.Equal(t, 5.0, costs(s.Tell(at(0), "o", first, 1)))
	s.Add(at(0), "o", own, 1, 3)
	lost := s.Tell(at(0), "o", first, 1)
	assert.Equal(t, 3.0, costs(lost))
	s.Forget(lost)
	assert.Equal(t, 3.0, costs(s.Tell(at(0), "o", first, 1)))
}

func TestWhatDidNotRunIsNotTold(t *testing.T) {
	s := NewSpending(window)
	s.Add(at(0), "o", own, 1, 5)
	s.Add(at(0), "o", own, 1, 3)
	s.Remove("o", own, 5)
	s.Remove("other", own, 5)
	assert.Equal(t, 3.0, costs(s.Tell(at(0), "o", first, 1)))
}

// Guards against a quota that is cut and, at the next home, grants nothing until what was
// granted under the higher one is older than the window.
func TestWhatWasGrantedUnderAHigherQuotaIsToldAsAPartOfTheLowerOne(t *testing.T) {
	s := NewSpending(window)
	s.Add(at(0), "o", first, 100, 50)
	s.Add(at(0), "o", first, 10, 5)
	assert.Equal(t, 5.0+5, costs(s.Tell(at(0), "o", second, 10)))
	assert.Equal(t, 50.0+5, costs(s.Tell(at(0), "o", Home{Name: "c"}, 1000)), "but not as more of a higher one")
}

func TestSpendingIsBounded(t *testing.T) {
	s := NewSpending(window)
	for n := range 10 * maxSpent {
		s.Add(at(time.Duration(n)*time.Millisecond), "o", Home{Incarnation: uint64(n)}, 1, 1)
	}
	assert.Equal(t, float64(maxSpent), costs(s.Tell(at(time.Second), "o", first, 1)))
}

// Guards against a home that grants a window's quota anew, since it doesn't count what
// the homes before it granted, and against one that can't ever grant again.
func TestNewHomeCountsWhatWasGrantedBefore(t *testing.T) {
	before := Spent{Age: time.Second, Cost: limit.Rate*window.Seconds() + limit.Burst, IsByHome: true}
	l := NewLedger(window)
	g := l.Take(at(0), "o", limit, 100, before)
	assert.False(t, g.IsGranted)
	assert.Equal(t, maxWait, g.Wait)
	assert.False(t, l.Take(at(6*time.Second), "o", limit, 100).IsGranted)
	assert.True(t, l.Take(at(7500*time.Millisecond), "o", limit, 100).IsGranted, "it is older than a window")
}

// Guards against a home that takes what it is told for all that was granted, though some
// instances can't tell.
func TestNewHomeEstimatesWhatItIsNotTold(t *testing.T) {
	whole := limit.Rate*window.Seconds() + limit.Burst
	cases := []struct {
		name              string
		inTouch, restarts int
		told              float64
		isGranted         bool
	}{
		{"1 all can tell", 60, 0, 0.9 * whole, true},
		{"2 a third have started again, the others used their part", 60, 20, 0.68 * whole, false},
		{"3 a third have started again, the others used half of their part", 60, 20, 0.34 * whole, true},
		{"4 a third are out of touch", 40, 0, 0.68 * whole, false},
		{"5 nearly all have started again, the others used twice their part", 60, 58, 0.07 * whole, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := NewLedger(window)
			l.SetFleet(at(0), c.inTouch, 60, slices.Repeat([]time.Time{at(0)}, c.restarts)...)
			g := l.Take(at(0), "o", limit, 0.01*whole, Spent{Age: time.Second, Cost: c.told, IsByHome: true})
			assert.Equal(t, c.isGranted, g.IsGranted)
			l.SetFleet(at(window), 60, 60)
			assert.True(t, l.Take(at(window), "o", limit, 0.01*whole).IsGranted, "it is older than a window")
		})
	}
}

// Guards against a home that stood still and goes on with what its bucket saved up
// meanwhile, though another granted it, or its own parts did.
func TestHomeThatGoesOnCountsWhatOthersGranted(t *testing.T) {
	cases := []struct {
		name     string
		told     []Spent
		expected float64
	}{
		{"1 nothing was granted", nil, limit.Burst},
		{"2 by own parts", []Spent{{Age: time.Second, Cost: 30_000}}, limit.Burst - 30_000},
		{"3 by another home", []Spent{{Age: time.Second, Cost: 1, IsByHome: true}}, newShare * limit.Burst},
		{"4 before this one began", []Spent{{Age: 4 * time.Second, Cost: 30_000, IsByHome: true}}, limit.Burst},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := NewLedger(window)
			l.Take(at(0), "o", limit, 0)
			g := l.Take(at(3*time.Second), "o", limit, 0, c.told...)
			assert.InDelta(t, c.expected, g.Level, 1)
		})
	}
}

func TestRecentIsASlidingWindow(t *testing.T) {
	r := newRecent(window)
	slot := window / recentSlots
	r.add(at(0), at(0), 10)
	r.add(at(window/2), at(window/4), 20)
	r.add(at(window/2), at(window/2-2*window), 40)
	sum, wait := r.sum(at(window-slot), 30)
	assert.Equal(t, 30.0, sum)
	assert.Zero(t, wait)
	_, wait = r.sum(at(window-slot), 20)
	assert.LessOrEqual(t, wait, 2*slot)
	sum, _ = r.sum(at(window+slot), 0)
	assert.Equal(t, 20.0, sum)
	r.remove(15)
	sum, _ = r.sum(at(window+slot), 0)
	assert.Equal(t, 5.0, sum)
	sum, _ = r.sum(at(5*window), 0)
	assert.Zero(t, sum)
}

// Measures what a request that was granted lately holds, where each is of another organisation.
func BenchmarkSpendingMemory(b *testing.B) {
	const requests = maxBuckets
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		before := heap()
		s, l := NewSpending(window), NewLedger(window)
		for n := range requests {
			s.Add(start, fmt.Sprint("organisation-", n), first, 1, requestCost)
		}
		spent := heap()
		for n := range requests {
			l.Take(start, fmt.Sprint("organisation-", n), limit, requestCost)
		}
		counted := heap()
		b.ReportMetric((spent-before)/requests, "granted-B")
		b.ReportMetric((counted-spent)/requests, "organisation-B")
		runtime.KeepAlive(s)
		runtime.KeepAlive(l)
	}
}
