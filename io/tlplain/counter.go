package tlplain

// The counters of plain calls.
const (
	CountRepeatable      = "PlainRepeatableCalls"
	CountOnce            = "PlainOnceCalls"
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
	CountRepeatable, CountOnce, CountReplayed, CountRetryUnsent, CountRetryFailed,
	CountRetryStatus, CountRetryDraining, CountBudgetSpent, CountAnswersOmitted,
	CountAnswersTooLarge, CountCallerGone,
}
