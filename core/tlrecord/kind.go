package tlrecord

import "trefoillanding/core/tlwire"

// Body is any message that a log record may contain.
type Body interface {
	tlwire.Claim | tlwire.Outcome | tlwire.Release | tlwire.Mark | tlwire.KeysKept |
		tlwire.LeaseTaken | tlwire.LeaseReleased |
		tlwire.ConfigProposal | tlwire.ConfigSnapshot
}

// currentVersion is the newest version of any kind that this program reads.
const currentVersion = 1

// KindOf returns the record kind of a message type.
func KindOf[T Body]() tlwire.RecordKind {
	var b T
	switch any(b).(type) {
	case tlwire.Claim:
		return tlwire.RecordKindClaim
	case tlwire.Outcome:
		return tlwire.RecordKindOutcome
	case tlwire.Release:
		return tlwire.RecordKindRelease
	case tlwire.Mark:
		return tlwire.RecordKindMark
	case tlwire.KeysKept:
		return tlwire.RecordKindKeysKept
	case tlwire.LeaseTaken:
		return tlwire.RecordKindLeaseTaken
	case tlwire.LeaseReleased:
		return tlwire.RecordKindLeaseReleased
	case tlwire.ConfigProposal:
		return tlwire.RecordKindConfigProposal
	default:
		return tlwire.RecordKindConfigSnapshot
	}
}
