package tlmember

import (
	"cmp"
	"slices"
	"time"
)

// maxForwards is how many times an instance forwards one value.
const maxForwards = 3

// GossipTable holds the latest value of each name, such as a pool's summary, and
// picks the values to gossip next; it is not safe for concurrent use.
type GossipTable[T any] struct {
	entries map[string]*entry[T]
}

type entry[T any] struct {
	name  string
	value T
	at    time.Time
	sent  int
}

// NewGossipTable returns an empty table.
func NewGossipTable[T any]() *GossipTable[T] {
	return &GossipTable[T]{entries: map[string]*entry[T]{}}
}

// Put stores the value of a name as of a time, unless a value as recent is stored.
func (t *GossipTable[T]) Put(name string, value T, at time.Time) {
	e := t.entries[name]
	if e != nil && !at.After(e.at) {
		return
	}
	t.entries[name] = &entry[T]{name: name, value: value, at: at}
}

// Get returns the latest value of a name and its time; false if there is none.
func (t *GossipTable[T]) Get(name string) (T, time.Time, bool) {
	e := t.entries[name]
	if e == nil {
		var none T
		return none, time.Time{}, false
	}
	return e.value, e.at, true
}

// NextToSend returns at most limit names whose values are to be forwarded, least
// often forwarded first, and counts them as forwarded.
func (t *GossipTable[T]) NextToSend(limit int) []string {
	var pending []*entry[T]
	for _, e := range t.entries {
		if e.sent < maxForwards {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(p, q *entry[T]) int {
		return cmp.Or(cmp.Compare(p.sent, q.sent), q.at.Compare(p.at), cmp.Compare(p.name, q.name))
	})
	var names []string
	for _, e := range pending[:min(limit, len(pending))] {
		e.sent++
		names = append(names, e.name)
	}
	return names
}

// EvictBefore removes the values that are older than a time.
func (t *GossipTable[T]) EvictBefore(before time.Time) {
	for name, e := range t.entries {
		if e.at.Before(before) {
			delete(t.entries, name)
		}
	}
}
