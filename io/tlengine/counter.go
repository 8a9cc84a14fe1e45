package tlengine

// The counters of a client.
const (
	// CountRefused counts calls that an engine refused.
	CountRefused = "Refused"
	// CountUnreachable counts calls for which no connection was made.
	CountUnreachable = "Unreachable"
	// CountLost counts calls whose answer was lost or cut short.
	CountLost = "Lost"
	// CountMalformed counts answers that can't be read.
	CountMalformed = "Malformed"
	// CountWrongAttempt counts answers and tokens of another attempt, which were dropped.
	CountWrongAttempt = "Crossed"
	// CountRepeated counts tokens that came again, which were dropped.
	CountRepeated = "Repeated"
	// CountGap counts streams that left a token out.
	CountGap = "Gap"
	// CountImportStalled counts imports that brought no bytes for too long.
	CountImportStalled = "ImportStalled"
	// CountStreamStalled counts streams that brought no token for too long.
	CountStreamStalled = "StreamStalled"
	// CountOwnershipChecked counts questions of readers that may have been paused.
	CountOwnershipChecked = "Verified"
	// CountOwnershipLost counts readers that found their stream taken or cancelled after such a gap.
	CountOwnershipLost = "Taken"
	// CountCancelSent counts tries of cancels.
	CountCancelSent = "CancelSent"
	// CountCancelConfirmed counts cancels that an engine confirmed.
	CountCancelConfirmed = "CancelConfirmed"
	// CountCancelRepeated counts tries of a cancel after the first.
	CountCancelRepeated = "CancelRepeated"
	// CountCancelOtherOwner counts sweeps of attempts that another instance has taken over.
	CountCancelOtherOwner = "CancelTaken"
	// CountCancelGivenUp counts cancels that were never confirmed.
	CountCancelGivenUp = "CancelGivenUp"
)

// Counters lists the names of all counters.
var Counters = []string{
	CountRefused, CountUnreachable, CountLost, CountMalformed, CountWrongAttempt, CountRepeated,
	CountGap, CountImportStalled, CountStreamStalled, CountOwnershipChecked, CountOwnershipLost,
	CountCancelSent, CountCancelConfirmed,
	CountCancelRepeated, CountCancelOtherOwner, CountCancelGivenUp,
}
