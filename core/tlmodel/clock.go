package tlmodel

import (
	"container/heap"
	"time"
)

// Clock runs events in the order of their virtual times, and events of the same
// time in the order in which they were added.
type Clock struct {
	now    time.Time
	last   uint64
	events events
}

// NewClock returns a clock whose virtual time is start.
func NewClock(start time.Time) *Clock {
	return &Clock{now: start}
}

// Now returns the virtual time.
func (c *Clock) Now() time.Time {
	return c.now
}

// At schedules f for t, or for the present time if t has passed.
func (c *Clock) At(t time.Time, f func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.last++
	heap.Push(&c.events, event{at: t, number: c.last, run: f})
}

// After schedules f for d after the present time.
func (c *Clock) After(d time.Duration, f func()) {
	c.At(c.now.Add(d), f)
}

// Run runs every event due up to and including end and sets the time to end.
func (c *Clock) Run(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

type event struct {
	at     time.Time
	number uint64
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].number < e[j].number
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	n := len(*e) - 1
	x := (*e)[n]
	(*e)[n] = event{}
	*e = (*e)[:n]
	return x
}
