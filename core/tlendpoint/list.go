package tlendpoint

import (
	"cmp"
	"slices"
	"time"
)

// ReturnGrace is how long an entry that lapsed around an outage of the store
// may stay away: endpoints write themselves down again within about two
// seconds of its return.
const ReturnGrace = 2200 * time.Millisecond

// List folds the entries of endpoints; it is not safe for concurrent use.
type List struct {
	entries map[string]Endpoint
	// lapsed holds until when entries are kept that vanished around an outage.
	lapsed map[string]time.Time
}

// NewList returns an empty list.
func NewList() *List {
	return &List{entries: map[string]Endpoint{}, lapsed: map[string]time.Time{}}
}

// Put takes in an entry.
func (l *List) Put(e Endpoint) {
	l.entries[e.ID] = e
	delete(l.lapsed, e.ID)
}

// Drop takes out an entry; where the store was away a moment ago it is kept until a time.
func (l *List) Drop(id string, keepUntil time.Time) {
	e, ok := l.entries[id]
	if !ok {
		return
	}
	if keepUntil.IsZero() || e.IsDraining {
		l.remove(id)
		return
	}
	if _, ok := l.lapsed[id]; !ok {
		l.lapsed[id] = keepUntil
	}
}

// Retain drops all entries but those named.
func (l *List) Retain(named map[string]bool, keepUntil time.Time) {
	for id := range l.entries {
		if !named[id] {
			l.Drop(id, keepUntil)
		}
	}
}

// Expire takes out what lapsed and has not come back, and says whether anything went.
func (l *List) Expire(now time.Time) bool {
	changed := false
	for id, until := range l.lapsed {
		if now.Before(until) {
			continue
		}
		l.remove(id)
		changed = true
	}
	return changed
}

func (l *List) remove(id string) {
	delete(l.entries, id)
	delete(l.lapsed, id)
}

// All returns the entries in order of their IDs.
func (l *List) All() []Endpoint {
	all := make([]Endpoint, 0, len(l.entries))
	for _, e := range l.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Endpoint) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return all
}
