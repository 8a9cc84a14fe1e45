package tlkeyed

import (
	"cmp"
	"slices"
)

// Table holds the newest record of each key; it is not safe for concurrent use.
type Table struct {
	byKey      map[string]Record
	nextOffset uint64
	era        uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{byKey: map[string]Record{}}
}

// Next returns the position from which to read next.
func (t *Table) Next() Position {
	return Position{Era: t.era, Offset: t.nextOffset}
}

// Reset replaces the contents by a batch with the newest record of each key.
func (t *Table) Reset(b Batch) {
	clear(t.byKey)
	t.nextOffset, t.era = 0, b.Era
	t.Apply(b)
}

// Apply adds later records of the same era. It ignores those before Next, which it has applied
// before and which may have been superseded.
func (t *Table) Apply(b Batch) {
	for _, r := range b.Records {
		if r.Offset < t.nextOffset {
			continue
		}
		if r.IsTombstone() {
			delete(t.byKey, r.Key)
			continue
		}
		t.byKey[r.Key] = r
	}
	t.nextOffset = max(t.nextOffset, b.Next)
}

// All returns the newest record of each key, sorted by key.
func (t *Table) All() Batch {
	b := Batch{Next: t.nextOffset, End: t.nextOffset, Era: t.era}
	for _, r := range t.byKey {
		b.Records = append(b.Records, r)
	}
	slices.SortFunc(b.Records, func(x, y Record) int {
		return cmp.Compare(x.Key, y.Key)
	})
	return b
}
