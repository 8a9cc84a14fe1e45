package tlkeyed

import (
	"cmp"
	"slices"
)

// Table holds the newest record of each key; it is not safe for concurrent use.
type Table struct {
	byKey map[string]Record
	next  uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{byKey: map[string]Record{}}
}

// Next returns the offset to go on from.
func (t *Table) Next() uint64 {
	return t.next
}

// Reset takes in the newest record of each key in place of what was known.
func (t *Table) Reset(b Batch) {
	clear(t.byKey)
	t.next = 0
	t.Apply(b)
}

// Apply takes in later records; those before Next are known already, whatever
// came of their keys since.
func (t *Table) Apply(b Batch) {
	for _, r := range b.Records {
		if r.Offset < t.next {
			continue
		}
		if r.IsTombstone() {
			delete(t.byKey, r.Key)
			continue
		}
		t.byKey[r.Key] = r
	}
	t.next = max(t.next, b.Next)
}

// All returns the newest record of each key in order of the keys.
func (t *Table) All() Batch {
	b := Batch{Next: t.next, End: t.next}
	for _, r := range t.byKey {
		b.Records = append(b.Records, r)
	}
	slices.SortFunc(b.Records, func(x, y Record) int {
		return cmp.Compare(x.Key, y.Key)
	})
	return b
}
