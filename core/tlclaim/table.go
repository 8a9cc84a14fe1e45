package tlclaim

import (
	"slices"
	"time"

	"trefoillanding/core/tlrecord"
	"trefoillanding/core/tlwire"
)

// Table holds the key states that result from one stream's records; it is not
// safe for concurrent use.
type Table struct {
	entries        map[ID]Entry
	releasedNonces map[ID][]uint64
	byOffset       []recordRef
	coverage       Coverage
	first          uint64
	next           uint64
	lastSnapshot   recordRef
	lastMark       recordRef
	lastLostOffset uint64
	skipped        uint64
	time           time.Time
}

// recordRef is the record that an entry depends on; the entry is dropped when
// retention drops the record.
type recordRef struct {
	id     ID
	offset uint64
	time   time.Time
}

// Change is the key that a record refers to, and its entry after the record.
type Change struct {
	ID    ID
	Kind  tlwire.RecordKind
	Nonce uint64
	Entry Entry
}

// NewTable returns an empty table, to be applied from the stream's first record on.
func NewTable() *Table {
	return &Table{
		entries:        map[ID]Entry{},
		releasedNonces: map[ID][]uint64{},
		coverage:       Coverage{IsFromStart: true, KnowsUntimed: true},
		first:          1,
		next:           1,
	}
}

// Next returns the offset of the record that must be applied next.
func (t *Table) Next() uint64 {
	return t.next
}

// Time returns the log's time at the last record.
func (t *Table) Time() time.Time {
	return t.time
}

// Len returns the number of keys.
func (t *Table) Len() int {
	return len(t.entries)
}

// Skipped returns the number of records that were ignored: malformed, of an
// unknown kind or of a later version, or a claim whose key is ahead of the log.
func (t *Table) Skipped() uint64 {
	return t.skipped
}

// Coverage returns which claims the table is sure to know.
func (t *Table) Coverage() Coverage {
	return t.coverage
}

// Lookup returns the entry of a key; an unknown key is Free.
func (t *Table) Lookup(id ID) Entry {
	return t.entries[id]
}

// Decide returns what the instance that claims a key with a nonce and a digest may do.
func (t *Table) Decide(id ID, nonce uint64, d Digest) Decision {
	if t.isNonceReleased(id, nonce) {
		return AlreadyReleased
	}
	return t.entries[id].decide(nonce, d)
}

// Restart clears the table and continues at the log's oldest record, since the
// records before it can no longer be read.
func (t *Table) Restart(oldest uint64) {
	*t = Table{
		entries:        map[ID]Entry{},
		releasedNonces: map[ID][]uint64{},
		first:          oldest,
		next:           oldest,
		skipped:        t.skipped,
		time:           t.time,
	}
}

// Apply applies the next record and returns the change of the key that it refers
// to; false if it refers to none or is not the next record.
func (t *Table) Apply(r tlwire.LogRecord) (Change, bool) {
	if r.Offset != t.next {
		return Change{}, false
	}
	t.next++
	t.time = r.Time
	if !t.coverage.IsFromStart && t.coverage.Since.IsZero() {
		t.coverage.Since = r.Time
	}
	id, v, ok := t.parse(r)
	if !ok {
		return Change{}, false
	}
	e := t.entries[id]
	v.isNonceReleased = t.isNonceReleased(id, v.nonce)
	if rule, found := ruleFor(e, v); found {
		e = t.put(id, rule.next(e, v, r.Offset), r.Time)
	}
	if v.kind == tlwire.RecordKindRelease && !v.isNonceReleased {
		t.releasedNonces[id] = append(t.releasedNonces[id], v.nonce)
	}
	return Change{ID: id, Kind: v.kind, Nonce: v.nonce, Entry: e}, true
}

// Drop removes the keys whose records are before the log's oldest record.
func (t *Table) Drop(oldest uint64) {
	n := 0
	for n < len(t.byOffset) && t.byOffset[n].offset < oldest {
		p := t.byOffset[n]
		if e, ok := t.entries[p.id]; ok && e.Offset == p.offset {
			t.dropEntry(p.id, e)
		}
		t.coverage.IsFromStart = false
		t.coverage.Since = p.time
		n++
	}
	t.byOffset = t.byOffset[n:]
}

func (t *Table) dropEntry(id ID, e Entry) {
	if e.IsUntimed && e.State.isClaimed() {
		t.coverage.KnowsUntimed = false
		t.lastLostOffset = e.Offset
	}
	delete(t.entries, id)
	delete(t.releasedNonces, id)
}

func (t *Table) isNonceReleased(id ID, nonce uint64) bool {
	return slices.Contains(t.releasedNonces[id], nonce)
}

func (t *Table) put(id ID, e Entry, at time.Time) Entry {
	if t.entries[id].Offset != e.Offset {
		t.byOffset = append(t.byOffset, recordRef{id: id, offset: e.Offset, time: at})
	}
	t.entries[id] = e
	return e
}

func (t *Table) parse(r tlwire.LogRecord) (ID, event, bool) {
	o, err := tlrecord.Open(r.Data)
	if err != nil {
		t.skipped++
		return ID{}, event{}, false
	}
	switch o.Kind {
	case tlwire.RecordKindMark:
		t.lastMark = recordRef{offset: r.Offset, time: r.Time}
		return ID{}, event{}, false
	case tlwire.RecordKindKeysKept:
		t.applyKeySnapshot(o, r)
		return ID{}, event{}, false
	}
	p, known := parsers[o.Kind]
	if !known {
		t.skipped++
		return ID{}, event{}, false
	}
	id, v, ok := p(o, r.Time)
	if !ok {
		t.skipped++
	}
	return id, v, ok
}
