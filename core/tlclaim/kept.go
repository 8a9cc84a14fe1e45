package tlclaim

import (
	"time"

	"trefoillanding/core/tlrecord"
	"trefoillanding/core/tlwire"
)

// KeySnapshot returns the record that repeats every claimed key without a time; false
// when there is none, more than a limit, or when not all of them are known.
func (t *Table) KeySnapshot(limit int) (tlwire.KeysKept, bool) {
	k := tlwire.KeysKept{Before: t.next}
	for id, e := range t.entries {
		if e.IsPlain && e.State.isClaimed() {
			k.IDs = append(k.IDs, id[:]...)
		}
	}
	n := len(k.IDs) / len(ID{})
	return k, t.coverage.KnowsPlain && n > 0 && n <= limit
}

// LastKeySnapshot returns where and when keys were last repeated; zero when they never were.
func (t *Table) LastKeySnapshot() (uint64, time.Time) {
	return t.kept.offset, t.kept.time
}

// LacksLogTime says that no record tells the log's time yet, though some were dropped.
func (t *Table) LacksLogTime() bool {
	return !t.coverage.IsFromStart && t.coverage.Since.IsZero()
}

// LastMark returns where and when the last mark is; zero when there is none.
func (t *Table) LastMark() (uint64, time.Time) {
	return t.marked.offset, t.marked.time
}

// keep folds a record that repeats keys: their entries last as long as it does.
func (t *Table) keep(o tlwire.Record, r tlwire.LogRecord) {
	k, err := tlrecord.Decode[tlwire.KeysKept](o)
	if err != nil || k.Before > r.Offset || len(k.IDs)%len(ID{}) != 0 {
		t.skipped++
		return
	}
	for ids := k.IDs; len(ids) > 0; ids = ids[len(ID{}):] {
		id := ID(ids[:len(ID{})])
		e := t.entries[id]
		if e.State == Free || !t.coverage.KnowsPlain {
			// A table that missed records may hold the key for another claim
			// than the one that counted, and its release must free nothing.
			e = Entry{State: ClaimedInSnapshot, IsPlain: true}
		}
		e.Offset = r.Offset
		t.put(id, e, r.Time)
	}
	t.kept = place{offset: r.Offset, time: r.Time}
	if k.Before >= t.first && k.Before > t.lost {
		t.coverage.KnowsPlain = true
	}
}
