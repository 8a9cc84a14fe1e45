package tlplain

// The counters of plain calls.
const (
	CountRepeatable      = "PlainRepeatableCalls"
	CountNonRepeatable   = "PlainOnceCalls"
	CountReplayed        = "PlainAnswersReplayed"
	CountRetryUnsent     = "PlainRetriedUnsent"
	CountRetryFailed     = "PlainRetriedFailed"
	CountRetryStatus     = "PlainRetriedStatus"
	CountRetryDraining   = "PlainRetriedDraining"
	CountBudgetSpent     = "PlainRetryBudgetSpent"
	CountAnswersOmitted  = "PlainAnswersTooLongToKeep"
	CountAnswersTooLarge = "PlainAnswersTooLarge"
	CountCallerGone      = "PlainCallerGoneUnsent"
)

// CounterNames lists the counters of plain calls.
var CounterNames = []string{
	CountRepeatable, CountNonRepeatable, CountReplayed, CountRetryUnsent, CountRetryFailed,
	CountRetryStatus, CountRetryDraining, CountBudgetSpent, CountAnswersOmitted,
	CountAnswersTooLarge, CountCallerGone,
}
