package tlconfig

import (
	"bytes"
	"errors"
	"time"

	"trefoillanding/core/tlcodec"
	"trefoillanding/core/tlrecord"
	"trefoillanding/core/tlwire"
)

// Fold is what the records of the log's configuration stream add up to; every
// reader of the same records gets the same.
//
// A proposal counts only if its base is the generation in force at its place.
// A reader that begins after the stream's first record knows no state before
// it has folded a snapshot whose later records it has all read, or has taken
// over a peer's state. Generations never go back.
type Fold struct {
	state   State
	known   bool
	first   uint64
	last    uint64
	covered uint64 // the generation of the latest snapshot
	snapped time.Time
}

// NewFold returns the fold of a reader that has read nothing.
func NewFold() *Fold {
	return &Fold{}
}

// State returns the state in force; it is known once IsKnown.
func (f *Fold) State() State {
	return f.state
}

// IsKnown says whether the state is what the records read so far add up to.
func (f *Fold) IsKnown() bool {
	return f.known
}

// NextOffset returns the offset of the record to read next, 0 for the oldest kept.
func (f *Fold) NextOffset() uint64 {
	if f.known {
		return f.state.Offset + 1
	}
	if f.last == 0 {
		return 0
	}
	return f.last + 1
}

// Begin tells that reading goes on at an offset because earlier records are
// not kept; at 1 nothing is missing.
func (f *Fold) Begin(at uint64) {
	if f.known && at <= f.state.Offset+1 {
		return
	}
	f.known = at <= 1
	f.first, f.last = at, at-1
}

// Adopt takes over a peer's state when it is newer than what is known here.
func (f *Fold) Adopt(s State) bool {
	isNewer := s.Offset > f.state.Offset && s.Generation >= f.state.Generation
	if f.known && !isNewer || s.Generation < f.state.Generation {
		return false
	}
	f.state, f.known, f.covered = s, true, s.Generation
	return true
}

// Apply folds one record.
func (f *Fold) Apply(r tlwire.LogRecord) Ruling {
	if f.known && r.Offset <= f.state.Offset || !f.known && r.Offset <= f.last {
		return Repeated
	}
	if f.known && r.Offset > f.state.Offset+1 || !f.known && f.last > 0 && r.Offset > f.last+1 {
		f.known = false
		f.first, f.last = r.Offset, r.Offset-1
		return Missing
	}
	if f.last == 0 && f.first == 0 && !f.known {
		f.Begin(r.Offset)
	}
	f.last = r.Offset
	ruling := f.judge(r)
	if f.known && ruling != Restored {
		f.state.Offset = r.Offset
	}
	return ruling
}

func (f *Fold) judge(r tlwire.LogRecord) Ruling {
	e, err := tlrecord.Open(r.Data)
	isLater := errors.Is(err, tlrecord.ErrLaterVersion)
	if err != nil && !isLater {
		return Ignored
	}
	switch e.Kind {
	case tlwire.RecordKindConfigProposal:
		return f.proposal(e, isLater)
	case tlwire.RecordKindConfigSnapshot:
		return f.snapshot(r, e, isLater)
	default:
		return Ignored
	}
}

func (f *Fold) proposal(e tlwire.Record, isLater bool) Ruling {
	p, err := tlrecord.Decode[tlwire.ConfigProposal](e)
	if err != nil {
		return Malformed
	}
	if !f.known {
		return Unjudged
	}
	if p.Base != f.state.Generation {
		return Outdated
	}
	if isLater {
		f.known = false
		f.first = f.last + 1
		return TooNew
	}
	c, err := tlcodec.Decode[tlwire.ConfigChange](p.Content)
	if err != nil {
		return Malformed
	}
	n, err := f.state.apply(c)
	if err != nil {
		return Malformed
	}
	n.Generation = f.state.Generation + 1
	n.remember(p.Nonce, p.Author)
	f.state = n
	if !bytes.Equal(n.Digest.Bytes(), c.Digest) {
		return Diverged
	}
	return Accepted
}

func (f *Fold) snapshot(r tlwire.LogRecord, e tlwire.Record, isLater bool) Ruling {
	if isLater {
		return TooNew
	}
	b, err := tlrecord.Decode[tlwire.ConfigSnapshot](e)
	if err != nil {
		return Malformed
	}
	x, err := tlcodec.Decode[tlwire.ConfigState](b.Content)
	if err != nil || x.Generation != b.Generation || x.Offset >= r.Offset {
		return Malformed
	}
	if f.known {
		return f.confirm(r, x)
	}
	if x.Offset+1 < f.first || x.Generation < f.state.Generation {
		return Unjudged
	}
	s, err := Import(x)
	if err != nil {
		return Malformed
	}
	f.state, f.known = s, true
	f.covered, f.snapped = s.Generation, r.Time
	return Restored
}

// confirm compares a snapshot with the state here, where both are of one generation.
func (f *Fold) confirm(r tlwire.LogRecord, x tlwire.ConfigState) Ruling {
	if x.Generation > f.state.Generation {
		return Malformed
	}
	f.covered, f.snapped = max(f.covered, x.Generation), r.Time
	if x.Generation == f.state.Generation && !bytes.Equal(x.Digest, f.state.Digest.Bytes()) {
		return Diverged
	}
	return Confirmed
}

// SnapshotDue says whether a snapshot should be appended at a time of the log's
// clock: after a number of changes or a time since the last one.
func (f *Fold) SnapshotDue(now time.Time, changes int, age time.Duration) bool {
	if !f.known || f.state.Generation == 0 {
		return false
	}
	return f.state.Generation-f.covered >= uint64(changes) || now.Sub(f.snapped) >= age
}
