package tlclaim

import (
	"slices"
	"time"

	"trefoillanding/core/tlrecord"
	"trefoillanding/core/tlwire"
)

// Table is the fold of one stream's records; it is not safe for concurrent use.
type Table struct {
	entries  map[ID]Entry
	givenUp  map[ID][]uint64
	order    []place
	coverage Coverage
	first    uint64
	next     uint64
	kept     place
	marked   place
	lost     uint64
	skipped  uint64
	time     time.Time
}

// place remembers which entry a record made, so that retention can drop it.
type place struct {
	id     ID
	offset uint64
	time   time.Time
}

// Change tells which key a record was about.
type Change struct {
	ID    ID
	Kind  tlwire.RecordKind
	Nonce uint64
	Entry Entry
}

// NewTable returns the table of a stream whose first record is folded next.
func NewTable() *Table {
	return &Table{
		entries:  map[ID]Entry{},
		givenUp:  map[ID][]uint64{},
		coverage: Coverage{IsFromStart: true, KnowsPlain: true},
		first:    1,
		next:     1,
	}
}

// Next returns the offset of the record that has to be folded next.
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

// Skipped returns the number of records of an unknown kind or a later version.
func (t *Table) Skipped() uint64 {
	return t.skipped
}

// Coverage says how far back the table knows every claim.
func (t *Table) Coverage() Coverage {
	return t.coverage
}

// Lookup returns the entry of a key; an unknown key is free.
func (t *Table) Lookup(id ID) Entry {
	return t.entries[id]
}

// Decide returns what the claim of a key with a nonce and a digest may do.
func (t *Table) Decide(id ID, nonce uint64, d Digest) Decision {
	if t.isGivenUp(id, nonce) {
		return AlreadyReleased
	}
	return t.entries[id].decide(nonce, d)
}

// Restart forgets everything, since records up to an offset were never read.
func (t *Table) Restart(oldest uint64) {
	*t = Table{
		entries: map[ID]Entry{},
		givenUp: map[ID][]uint64{},
		first:   oldest,
		next:    oldest,
		skipped: t.skipped,
		time:    t.time,
	}
}

// Apply folds the next record and tells which key it was about, if any.
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
	v.isGivenUp = t.isGivenUp(id, v.nonce)
	if rule, found := ruleFor(e, v); found {
		e = t.put(id, rule.next(e, v, r.Offset), r.Time)
	}
	if v.kind == tlwire.RecordKindRelease && !v.isGivenUp {
		t.givenUp[id] = append(t.givenUp[id], v.nonce)
	}
	return Change{ID: id, Kind: v.kind, Nonce: v.nonce, Entry: e}, true
}

// Drop forgets the keys whose records the log no longer keeps.
func (t *Table) Drop(oldest uint64) {
	n := 0
	for n < len(t.order) && t.order[n].offset < oldest {
		p := t.order[n]
		if e, ok := t.entries[p.id]; ok && e.Offset == p.offset {
			t.forget(p.id, e)
		}
		t.coverage.IsFromStart = false
		t.coverage.Since = p.time
		n++
	}
	t.order = t.order[n:]
}

func (t *Table) forget(id ID, e Entry) {
	if e.IsPlain && e.State.isClaimed() {
		t.coverage.KnowsPlain = false
		t.lost = e.Offset
	}
	delete(t.entries, id)
	delete(t.givenUp, id)
}

func (t *Table) isGivenUp(id ID, nonce uint64) bool {
	return slices.Contains(t.givenUp[id], nonce)
}

func (t *Table) put(id ID, e Entry, at time.Time) Entry {
	if t.entries[id].Offset != e.Offset {
		t.order = append(t.order, place{id: id, offset: e.Offset, time: at})
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
		t.marked = place{offset: r.Offset, time: r.Time}
		return ID{}, event{}, false
	case tlwire.RecordKindKeysKept:
		t.keep(o, r)
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
