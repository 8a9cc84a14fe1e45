package tlendpoint

import (
	"cmp"
	"slices"
	"time"
)

// OutageGrace is how long an entry that expired around an outage of the store is
// kept: endpoints register again within about two seconds of the store's return.
const OutageGrace = 2200 * time.Millisecond

// maxRemoved bounds the removed entries that are remembered: a log goes back by
// seconds, in which far fewer endpoints leave.
const maxRemoved = 10_000

// List holds the registered endpoints by ID; it is not safe for concurrent use.
type List struct {
	entries map[string]Endpoint
	// expiries holds the time until which entries that vanished around an outage are kept.
	expiries map[string]time.Time
	// removed holds the last entries of endpoints that were removed.
	removed map[string]Endpoint
}

// NewList returns an empty list.
func NewList() *List {
	return &List{entries: map[string]Endpoint{}, expiries: map[string]time.Time{}, removed: map[string]Endpoint{}}
}

// Put adds or replaces an entry and cancels its pending removal. An entry that a log
// shows again after it went back does not take an incarnation back into use: one that
// has drained keeps draining, and one that was removed stays so until it writes again.
func (l *List) Put(e Endpoint) {
	if r, ok := l.removed[e.ID]; ok && r.IsSameIncarnation(e) && e.Sequence > 0 && e.Sequence <= r.Sequence {
		return
	}
	if k, ok := l.entries[e.ID]; ok && k.IsSameIncarnation(e) {
		e.IsDraining = e.IsDraining || k.IsDraining
		e.Sequence = max(e.Sequence, k.Sequence)
	}
	l.entries[e.ID] = e
	delete(l.expiries, e.ID)
	delete(l.removed, e.ID)
}

// Remove removes an entry. If keepUntil is set, since the store has just been
// unavailable, Expire removes it at that time unless it is put again; a draining
// endpoint is removed at once.
func (l *List) Remove(id string, keepUntil time.Time) {
	e, ok := l.entries[id]
	if !ok {
		return
	}
	if keepUntil.IsZero() || e.IsDraining {
		l.deleteEntry(id)
		return
	}
	if _, ok := l.expiries[id]; !ok {
		l.expiries[id] = keepUntil
	}
}

// Retain removes, as Remove does, all entries but those whose ID is in named.
func (l *List) Retain(named map[string]bool, keepUntil time.Time) {
	for id := range l.entries {
		if !named[id] {
			l.Remove(id, keepUntil)
		}
	}
}

// Expire removes the entries whose grace period has ended, and reports whether it removed any.
func (l *List) Expire(now time.Time) bool {
	changed := false
	for id, until := range l.expiries {
		if now.Before(until) {
			continue
		}
		l.deleteEntry(id)
		changed = true
	}
	return changed
}

func (l *List) deleteEntry(id string) {
	if len(l.removed) >= maxRemoved {
		clear(l.removed)
	}
	l.removed[id] = l.entries[id]
	delete(l.entries, id)
	delete(l.expiries, id)
}

// All returns the entries sorted by ID.
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
