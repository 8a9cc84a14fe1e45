package tlconfigure

import "trefoillanding/core/tlconfig"

// The counters of the configuration, besides one for each ruling of the fold.
const (
	countLogRead      = "LogRead"
	countLogFailed    = "LogReadFailed"
	countRetention    = "RecordsUnreadByRetention"
	countShorter      = "LogShorterThanBefore"
	countFollowed     = "FollowedPeer"
	countFollowFailed = "FollowFailed"
	countAdopted      = "StateTakenFromPeer"
	countRefusedState = "StateFromPeerRefused"
	countPassed       = "RecordsPassed"
	countStatePassed  = "StatesPassed"
	countLagging      = "LagNoticed"
	countProposed     = "Proposed"
	countAppendFailed = "AppendFailed"
	countSnapshot     = "SnapshotAppended"
	countInForce      = "GenerationsInForce"
)

// CounterNames lists the counters of the configuration.
var CounterNames = append([]string{
	countLogRead, countLogFailed, countRetention, countShorter, countFollowed, countFollowFailed,
	countAdopted, countRefusedState, countPassed, countStatePassed, countLagging,
	countProposed, countAppendFailed, countSnapshot, countInForce,
}, tlconfig.OutcomeNames()...)
