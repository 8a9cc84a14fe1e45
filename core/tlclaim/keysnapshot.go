package tlclaim

import (
	"time"

	"trefoillanding/core/tlrecord"
	"trefoillanding/core/tlwire"
)

// KeySnapshot returns a record that lists every claimed key without a timestamp;
// false if there are none, more than limit, or if not all of them are known.
func (t *Table) KeySnapshot(limit int) (tlwire.KeysKept, bool) {
	k := tlwire.KeysKept{Before: t.next}
	for id, e := range t.entries {
		if e.IsUntimed && e.State.isClaimed() {
			k.IDs = append(k.IDs, id[:]...)
		}
	}
	n := len(k.IDs) / len(ID{})
	return k, t.coverage.KnowsUntimed && n > 0 && n <= limit
}

// LastKeySnapshot returns the offset and log time of the last key snapshot; zero if there is none.
func (t *Table) LastKeySnapshot() (uint64, time.Time) {
	return t.lastSnapshot.offset, t.lastSnapshot.time
}

// LacksLogTime reports whether earlier records were missed and none has been read
// since, so that the log's time is unknown.
func (t *Table) LacksLogTime() bool {
	return !t.coverage.IsFromStart && t.coverage.Since.IsZero()
}

// LastMark returns the offset and log time of the last mark; zero if there is none.
func (t *Table) LastMark() (uint64, time.Time) {
	return t.lastMark.offset, t.lastMark.time
}

// applyKeySnapshot moves the entries of the listed keys to the snapshot's offset,
// so that they are kept until retention drops the snapshot.
func (t *Table) applyKeySnapshot(o tlwire.Record, r tlwire.LogRecord) {
	k, err := tlrecord.Decode[tlwire.KeysKept](o)
	if err != nil || k.Before > r.Offset || len(k.IDs)%len(ID{}) != 0 {
		t.skipped++
		return
	}
	for ids := k.IDs; len(ids) > 0; ids = ids[len(ID{}):] {
		id := ID(ids[:len(ID{})])
		e := t.entries[id]
		if e.State == Free || !t.coverage.KnowsUntimed {
			// A table that missed records may show the wrong claim as the key's
			// holder; a release of that claim must not free the key.
			e = Entry{State: ClaimedInSnapshot, IsUntimed: true}
		}
		e.Offset = r.Offset
		t.put(id, e, r.Time)
	}
	t.lastSnapshot = recordRef{offset: r.Offset, time: r.Time}
	if k.Before >= t.first && k.Before > t.lastLostOffset {
		t.coverage.KnowsUntimed = true
	}
}
