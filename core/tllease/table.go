package tllease

import (
	"time"

	"trefoillanding/core/tlrecord"
	"trefoillanding/core/tlwire"
)

// Table holds the leases that result from a stream's records; it is not safe for
// concurrent use.
type Table struct {
	leases map[string]Lease
	first  uint64
	next   uint64
	since  time.Time
	time   time.Time
}

// NewTable returns an empty table whose first record has the given offset; the
// log's first record has offset 1.
func NewTable(first uint64) *Table {
	return &Table{leases: map[string]Lease{}, first: first, next: first}
}

// Next returns the offset of the record that must be applied next.
func (t *Table) Next() uint64 {
	return t.next
}

// Time returns the log's time at the last record.
func (t *Table) Time() time.Time {
	return t.time
}

// KnowsAllLeases reports whether every lease that may be live is known.
func (t *Table) KnowsAllLeases() bool {
	return t.knowsAllLeasesAt(t.time)
}

// Lease returns the last lease of a group, which may have expired.
func (t *Table) Lease(group string) Lease {
	return t.leases[group]
}

// Apply applies the next record; records of other kinds only advance the log time.
func (t *Table) Apply(r tlwire.LogRecord) {
	if r.Offset != t.next {
		return
	}
	t.next++
	t.time = r.Time
	if t.since.IsZero() {
		t.since = r.Time
	}
	e, err := tlrecord.Open(r.Data)
	if err != nil {
		return
	}
	switch e.Kind {
	case tlwire.RecordKindLeaseTaken:
		t.take(e, r)
	case tlwire.RecordKindLeaseReleased:
		t.release(e)
	}
}

func (t *Table) take(e tlwire.Record, r tlwire.LogRecord) {
	l, err := tlrecord.Decode[tlwire.LeaseTaken](e)
	if err != nil || l.Duration <= 0 {
		return
	}
	q := request{record: l, offset: r.Offset, time: r.Time}
	current := t.leases[l.Group]
	for _, rule := range rules {
		if !rule.when(t, current, q) {
			continue
		}
		t.leases[l.Group] = Lease{
			Group:       l.Group,
			Instance:    l.Instance,
			Incarnation: l.Incarnation,
			Fence:       rule.fence(q),
			Until:       r.Time.Add(min(l.Duration, MaxDuration)),
		}
		return
	}
}

func (t *Table) release(e tlwire.Record) {
	l, err := tlrecord.Decode[tlwire.LeaseReleased](e)
	if err != nil {
		return
	}
	if c := t.leases[l.Group]; c.Fence == l.Fence {
		c.Until = t.time.Add(-1)
		t.leases[l.Group] = c
	}
}

func (t *Table) knowsAllLeasesAt(now time.Time) bool {
	return t.first == 1 || now.Sub(t.since) > MaxDuration
}
