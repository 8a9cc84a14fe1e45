package tlengine

// The names of a client's counters.
const (
	// CountRefused counts calls that an engine refused and work that it reported as failed.
	CountRefused = "Refused"
	// CountUnreachable counts calls for which no connection could be made.
	CountUnreachable = "Unreachable"
	// CountLost counts calls whose response was lost or cut short.
	CountLost = "Lost"
	// CountMalformed counts responses that can't be decoded.
	CountMalformed = "Malformed"
	// CountWrongAttempt counts responses and stream events of another attempt, which were dropped.
	CountWrongAttempt = "Crossed"
	// CountRepeated counts tokens received more than once, which were dropped.
	CountRepeated = "Repeated"
	// CountGap counts streams that skipped a token.
	CountGap = "Gap"
	// CountImportStalled counts imports that made no progress within Options.ImportStallTimeout.
	CountImportStalled = "ImportStalled"
	// CountStreamStalled counts streams that sent no token within Options.TokenStallTimeout.
	CountStreamStalled = "StreamStalled"
	// CountOwnershipChecked counts ownership checks by readers that may have been paused.
	CountOwnershipChecked = "Verified"
	// CountOwnershipLost counts ownership checks that found the stream taken over or cancelled.
	CountOwnershipLost = "Taken"
	// CountCancelSent counts cancel calls, retries included.
	CountCancelSent = "CancelSent"
	// CountCancelConfirmed counts cancels that an engine confirmed.
	CountCancelConfirmed = "CancelConfirmed"
	// CountCancelRepeated counts retries of cancels.
	CountCancelRepeated = "CancelRepeated"
	// CountCancelOtherOwner counts cancels refused because another instance has taken the attempt over.
	CountCancelOtherOwner = "CancelTaken"
	// CountCancelGivenUp counts cancels not confirmed within Options.CancelTimeout.
	CountCancelGivenUp = "CancelGivenUp"
)

// Counters lists the names of all counters.
var Counters = []string{
	CountRefused, CountUnreachable, CountLost, CountMalformed, CountWrongAttempt, CountRepeated,
	CountGap, CountImportStalled, CountStreamStalled, CountOwnershipChecked, CountOwnershipLost,
	CountCancelSent, CountCancelConfirmed,
	CountCancelRepeated, CountCancelOtherOwner, CountCancelGivenUp,
}
