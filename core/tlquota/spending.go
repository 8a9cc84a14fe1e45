package tlquota

import (
	"slices"
	"time"
)

// maxSpent bounds the entries of one organisation; the oldest yields.
const maxSpent = 4 * recentSlots

// Home is one process that has counted an organisation; the zero Home stands for an
// instance's own part.
type Home struct {
	// Name is the instance's name, and Incarnation which of its processes it is.
	Name        string
	Incarnation uint64
}

// Spent is what an instance's requests were granted at a time.
type Spent struct {
	// Age is how long ago that was.
	Age time.Duration
	// Cost is what the requests cost.
	Cost float64
	// IsByHome says that a home granted it, and not the instance's own part.
	IsByHome bool
}

// Spending remembers what one instance's requests were granted within the last window,
// and which homes know of it: a home that takes over, or goes on after a silence, counts
// what others granted meanwhile. It is not safe for concurrent use.
type Spending struct {
	window time.Duration
	lists  map[string]*spentList
}

// spentList has the entries of one organisation, the oldest first.
type spentList struct {
	entries []*spentEntry
	asked   time.Time
}

type spentEntry struct {
	at   time.Time
	cost float64
	by   Home
	// rate is the quota's rate that was in force.
	rate float64
	// told lists the homes that were told of it.
	told []Home
}

// costUnder returns the cost under a quota's rate: what was granted under a higher one
// counts as the same part of a lower one.
func (e *spentEntry) costUnder(rate float64) float64 {
	if rate < e.rate {
		return e.cost * rate / e.rate
	}
	return e.cost
}

// NewSpending returns a Spending that remembers a window.
func NewSpending(window time.Duration) *Spending {
	return &Spending{window: window, lists: map[string]*spentList{}}
}

// Add records that a home, or this instance's own part, granted a request under a quota's rate.
func (s *Spending) Add(now time.Time, organisation string, by Home, rate, cost float64) {
	l := s.lists[organisation]
	if l == nil {
		dropLongestUnasked(s.lists, func(l *spentList) time.Time { return l.asked })
		l = &spentList{}
		s.lists[organisation] = l
	}
	l.asked = now
	l.dropBefore(now.Add(-s.window))
	slot := now.Truncate(max(s.window/recentSlots, 1))
	for _, e := range slices.Backward(l.entries) {
		if e.at.Before(slot) {
			break
		}
		if e.by == by && e.rate == rate && len(e.told) == 0 {
			e.cost += cost
			return
		}
	}
	if len(l.entries) >= maxSpent {
		l.entries = slices.Delete(l.entries, 0, 1)
	}
	l.entries = append(l.entries, &spentEntry{at: now, cost: cost, by: by, rate: rate})
}

// Remove takes back what was granted to a request that has not run.
func (s *Spending) Remove(organisation string, by Home, cost float64) {
	l := s.lists[organisation]
	if l == nil {
		return
	}
	for _, e := range slices.Backward(l.entries) {
		// A home that was told has counted it; this process can't know which.
		if e.by == by && len(e.told) == 0 {
			taken := min(e.cost, cost)
			e.cost -= taken
			cost -= taken
		}
	}
}

// Told is what a home is told with a question.
type Told struct {
	// Spent has what the home doesn't know of yet.
	Spent []Spent

	home    Home
	entries []*spentEntry
}

// Tell returns what a home doesn't know of yet, and takes it for told. What was granted
// under a higher rate than the present one is told as the same part of this one.
func (s *Spending) Tell(now time.Time, organisation string, h Home, rate float64) Told {
	t := Told{home: h}
	l := s.lists[organisation]
	if l == nil {
		return t
	}
	l.dropBefore(now.Add(-s.window))
	for _, e := range l.entries {
		if e.by == h || slices.Contains(e.told, h) || e.cost <= 0 {
			continue
		}
		e.told = append(e.told, h)
		t.entries = append(t.entries, e)
		t.Spent = append(t.Spent, Spent{Age: now.Sub(e.at), Cost: e.costUnder(rate), IsByHome: e.by != Home{}})
	}
	return t
}

// Sum returns what an organisation's requests were granted here within the last window,
// under a quota's rate as Tell has it.
func (s *Spending) Sum(now time.Time, organisation string, rate float64) float64 {
	l := s.lists[organisation]
	if l == nil {
		return 0
	}
	l.dropBefore(now.Add(-s.window))
	sum := 0.0
	for _, e := range l.entries {
		sum += e.costUnder(rate)
	}
	return sum
}

// Forget takes it back that a home was told: it gave no answer, and may not have heard it.
func (s *Spending) Forget(t Told) {
	for _, e := range t.entries {
		e.told = slices.DeleteFunc(e.told, func(h Home) bool { return h == t.home })
	}
}

func (l *spentList) dropBefore(t time.Time) {
	n := 0
	for n < len(l.entries) && l.entries[n].at.Before(t) {
		n++
	}
	l.entries = slices.Delete(l.entries, 0, n)
}
