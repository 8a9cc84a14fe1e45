package tlclaim

import "trefoillanding/core/tlwire"

// event holds the parts of a record that the rules use.
type event struct {
	kind        tlwire.RecordKind
	nonce       uint64
	digest      Digest
	lacksAnswer bool
	// isUntimed means that the key carries no timestamp.
	isUntimed bool
	// isNonceReleased means that the nonce was released before.
	isNonceReleased bool
}

// rule is one state transition: a record of a kind moves an entry from a state to another.
type rule struct {
	name string
	kind tlwire.RecordKind
	from State
	when func(Entry, event) bool
	to   State
}

// rules are tried in order; the first match is applied, and a record that
// matches none changes nothing.
var rules = []rule{
	{"claim of a free key", tlwire.RecordKindClaim, Free, nonceNotReleased, Held},
	{"claim after a release", tlwire.RecordKindClaim, Released, nonceNotReleased, Held},
	{"outcome without an answer", tlwire.RecordKindOutcome, Held, sameNonceWithoutAnswer, Unknown},
	{"outcome", tlwire.RecordKindOutcome, Held, sameNonce, Answered},
	{"late outcome", tlwire.RecordKindOutcome, Unknown, sameNonceWithAnswer, Answered},
	{"release", tlwire.RecordKindRelease, Held, sameNonce, Released},
	{"release before its claim", tlwire.RecordKindRelease, Free, always, Released},
}

func always(Entry, event) bool {
	return true
}

func sameNonce(e Entry, v event) bool {
	return e.Nonce == v.nonce
}

func nonceNotReleased(_ Entry, v event) bool {
	return !v.isNonceReleased
}

func sameNonceWithoutAnswer(e Entry, v event) bool {
	return sameNonce(e, v) && v.lacksAnswer
}

func sameNonceWithAnswer(e Entry, v event) bool {
	return sameNonce(e, v) && !v.lacksAnswer
}

func ruleFor(e Entry, v event) (rule, bool) {
	for _, r := range rules {
		if r.kind == v.kind && r.from == e.State && r.when(e, v) {
			return r, true
		}
	}
	return rule{}, false
}

// next returns the entry that results from the record at an offset.
func (r rule) next(e Entry, v event, offset uint64) Entry {
	e.State = r.to
	switch r.kind {
	case tlwire.RecordKindClaim:
		return Entry{State: r.to, IsUntimed: v.isUntimed, Nonce: v.nonce, Digest: v.digest, Offset: offset}
	case tlwire.RecordKindOutcome:
		e.Outcome = offset
	default:
		return Entry{State: r.to, IsUntimed: v.isUntimed, Nonce: v.nonce, Offset: offset}
	}
	return e
}
