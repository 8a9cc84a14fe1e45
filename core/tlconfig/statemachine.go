package tlconfig

import (
	"bytes"
	"errors"
	"time"

	"trefoillanding/core/tlcodec"
	"trefoillanding/core/tlrecord"
	"trefoillanding/core/tlwire"
)

// StateMachine computes the configuration from the records of the log's
// configuration stream; all readers of the same records get the same state.
//
// A proposal is accepted only if its base is the generation in force at its
// offset. A reader that starts after the stream's first record knows no state
// until it has applied a snapshot and read all records that follow the
// snapshot's state, or has adopted a peer's state. Generations never decrease.
type StateMachine struct {
	state              State
	known              bool
	firstOffset        uint64
	lastOffset         uint64
	snapshotGeneration uint64 // the generation of the latest snapshot
	snapshotTime       time.Time
}

// NewStateMachine returns the state machine of a reader that has read no records.
func NewStateMachine() *StateMachine {
	return &StateMachine{}
}

// State returns the state in force; it is valid only if IsKnown returns true.
func (m *StateMachine) State() State {
	return m.state
}

// IsKnown reports whether State reflects all records up to its offset.
func (m *StateMachine) IsKnown() bool {
	return m.known
}

// NextOffset returns the offset of the record to read next, or 0 for the oldest retained one.
func (m *StateMachine) NextOffset() uint64 {
	if m.known {
		return m.state.Offset + 1
	}
	if m.lastOffset == 0 {
		return 0
	}
	return m.lastOffset + 1
}

// StartAt continues reading at an offset because earlier records are no longer
// retained; at offset 1 no record is missing.
func (m *StateMachine) StartAt(at uint64) {
	if m.known && at <= m.state.Offset+1 {
		return
	}
	m.known = at <= 1
	m.firstOffset, m.lastOffset = at, at-1
}

// Adopt replaces the state by a peer's if that is newer than what is known, and
// reports whether it did.
func (m *StateMachine) Adopt(s State) bool {
	isNewer := s.Offset > m.state.Offset && s.Generation >= m.state.Generation
	if m.known && !isNewer || s.Generation < m.state.Generation {
		return false
	}
	m.state, m.known, m.snapshotGeneration = s, true, s.Generation
	return true
}

// Apply applies one record and returns its effect.
func (m *StateMachine) Apply(r tlwire.LogRecord) Outcome {
	if m.known && r.Offset <= m.state.Offset || !m.known && r.Offset <= m.lastOffset {
		return Repeated
	}
	if m.known && r.Offset > m.state.Offset+1 || !m.known && m.lastOffset > 0 && r.Offset > m.lastOffset+1 {
		m.known = false
		m.firstOffset, m.lastOffset = r.Offset, r.Offset-1
		return Missing
	}
	if m.lastOffset == 0 && m.firstOffset == 0 && !m.known {
		m.StartAt(r.Offset)
	}
	m.lastOffset = r.Offset
	outcome := m.evaluate(r)
	if m.known && outcome != Restored {
		m.state.Offset = r.Offset
	}
	return outcome
}

func (m *StateMachine) evaluate(r tlwire.LogRecord) Outcome {
	e, err := tlrecord.Open(r.Data)
	isLater := errors.Is(err, tlrecord.ErrLaterVersion)
	if err != nil && !isLater {
		return Ignored
	}
	switch e.Kind {
	case tlwire.RecordKindConfigProposal:
		return m.proposal(e, isLater)
	case tlwire.RecordKindConfigSnapshot:
		return m.snapshot(r, e, isLater)
	default:
		return Ignored
	}
}

func (m *StateMachine) proposal(e tlwire.Record, isLater bool) Outcome {
	p, err := tlrecord.Decode[tlwire.ConfigProposal](e)
	if err != nil {
		return Malformed
	}
	if !m.known {
		return StateUnknown
	}
	if p.Base != m.state.Generation {
		return Outdated
	}
	if isLater {
		m.known = false
		m.firstOffset = m.lastOffset + 1
		return TooNew
	}
	c, err := tlcodec.Decode[tlwire.ConfigChange](p.Content)
	if err != nil {
		return Malformed
	}
	n, err := m.state.apply(c)
	if err != nil {
		return Malformed
	}
	n.Generation = m.state.Generation + 1
	n.addApplied(p.Nonce, p.Author)
	m.state = n
	if !bytes.Equal(n.Digest.Bytes(), c.Digest) {
		return Diverged
	}
	return Accepted
}

func (m *StateMachine) snapshot(r tlwire.LogRecord, e tlwire.Record, isLater bool) Outcome {
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
	if m.known {
		return m.confirm(r, x)
	}
	if x.Offset+1 < m.firstOffset || x.Generation < m.state.Generation {
		return StateUnknown
	}
	s, err := Import(x)
	if err != nil {
		return Malformed
	}
	m.state, m.known = s, true
	m.snapshotGeneration, m.snapshotTime = s.Generation, r.Time
	return Restored
}

// confirm compares a snapshot with the local state if both have the same generation.
func (m *StateMachine) confirm(r tlwire.LogRecord, x tlwire.ConfigState) Outcome {
	if x.Generation > m.state.Generation {
		return Malformed
	}
	m.snapshotGeneration, m.snapshotTime = max(m.snapshotGeneration, x.Generation), r.Time
	if x.Generation == m.state.Generation && !bytes.Equal(x.Digest, m.state.Digest.Bytes()) {
		return Diverged
	}
	return Confirmed
}

// SnapshotDue reports whether a snapshot should be appended at time now of the
// log's clock: after a number of changes since the last snapshot or at its age.
func (m *StateMachine) SnapshotDue(now time.Time, changes int, age time.Duration) bool {
	if !m.known || m.state.Generation == 0 {
		return false
	}
	return m.state.Generation-m.snapshotGeneration >= uint64(changes) || now.Sub(m.snapshotTime) >= age
}
