package tlclaim

import "trefoillanding/core/tlwire"

// event is one record, reduced to what the rules look at.
type event struct {
	kind   tlwire.RecordKind
	nonce  uint64
	digest Digest
	isLost bool
	// isPlain says that the key carries no time.
	isPlain bool
	// isGivenUp says that the nonce was released before.
	isGivenUp bool
}

// rule says which state a record leads to from which state.
type rule struct {
	name string
	kind tlwire.RecordKind
	from State
	when func(Entry, event) bool
	to   State
}

// rules are tried in order; the first that fits is applied, and a record that
// fits none changes nothing.
var rules = []rule{
	{"claim of a free key", tlwire.RecordKindClaim, Free, notGivenUp, Held},
	{"claim after a release", tlwire.RecordKindClaim, Released, notGivenUp, Held},
	{"outcome without an answer", tlwire.RecordKindOutcome, Held, lostAnswer, Unknown},
	{"outcome", tlwire.RecordKindOutcome, Held, sameNonce, Answered},
	{"late outcome", tlwire.RecordKindOutcome, Unknown, lateAnswer, Answered},
	{"release", tlwire.RecordKindRelease, Held, sameNonce, Released},
	{"release before its claim", tlwire.RecordKindRelease, Free, always, Released},
}

func always(Entry, event) bool {
	return true
}

func sameNonce(e Entry, v event) bool {
	return e.Nonce == v.nonce
}

func notGivenUp(_ Entry, v event) bool {
	return !v.isGivenUp
}

func lostAnswer(e Entry, v event) bool {
	return sameNonce(e, v) && v.isLost
}

func lateAnswer(e Entry, v event) bool {
	return sameNonce(e, v) && !v.isLost
}

func ruleFor(e Entry, v event) (rule, bool) {
	for _, r := range rules {
		if r.kind == v.kind && r.from == e.State && r.when(e, v) {
			return r, true
		}
	}
	return rule{}, false
}

// next returns the entry after a record at an offset.
func (r rule) next(e Entry, v event, offset uint64) Entry {
	e.State = r.to
	switch r.kind {
	case tlwire.RecordKindClaim:
		return Entry{State: r.to, IsPlain: v.isPlain, Nonce: v.nonce, Digest: v.digest, Offset: offset}
	case tlwire.RecordKindOutcome:
		e.Outcome = offset
	default:
		return Entry{State: r.to, IsPlain: v.isPlain, Nonce: v.nonce, Offset: offset}
	}
	return e
}
