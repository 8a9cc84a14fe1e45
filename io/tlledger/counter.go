package tlledger

// The names of the ledger's counters.
const (
	CountAppends          = "LogAppends"
	CountRecords          = "LogRecords"
	CountNotAppended      = "LogAppendRefused"
	CountMayBeAppended    = "LogAppendUnanswered"
	CountResolved         = "LogAppendFoundByReading"
	CountOutages          = "LogOutages"
	CountSlowAppends      = "LogSlowAppends"
	CountReadFailed       = "LogReadFailed"
	CountRetentionPassed  = "LogRetentionPassed"
	CountSkipped          = "LogRecordsSkipped"
	CountClaimsHeld       = "ClaimsHeld"
	CountClaimsReplayed   = "ClaimsReplayed"
	CountClaimsWaited     = "ClaimsWaited"
	CountClaimsUnresolved = "ClaimsUnresolved"
	CountNotesRetried     = "ClaimNotesRetried"
	CountNotesDropped     = "ClaimNotesDropped"
	CountHomeFailed       = "ClaimHomeFailed"
	CountKeysReappended   = "ClaimKeysKept"
)

// CounterNames lists the names of the ledger's counters.
var CounterNames = []string{
	CountAppends, CountRecords, CountNotAppended, CountMayBeAppended, CountResolved,
	CountOutages, CountSlowAppends,
	CountReadFailed, CountRetentionPassed, CountSkipped, CountClaimsHeld,
	CountClaimsReplayed, CountClaimsWaited, CountClaimsUnresolved,
	CountNotesRetried, CountNotesDropped, CountHomeFailed, CountKeysReappended,
}
