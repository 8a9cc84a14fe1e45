package tlconfigure

import "trefoillanding/core/tlconfig"

// Counters of the configuration, besides one for each tlconfig.Outcome.
const (
	countLogRead       = "LogRead"
	countLogFailed     = "LogReadFailed"
	countOffsetExpired = "RecordsUnreadByRetention"
	countLogTruncated  = "LogShorterThanBefore"
	countFollowed      = "FollowedPeer"
	countFollowFailed  = "FollowFailed"
	countAdopted       = "StateTakenFromPeer"
	countRefusedState  = "StateFromPeerRefused"
	countPassed        = "RecordsPassed"
	countStatePassed   = "StatesPassed"
	countLagging       = "LagNoticed"
	countProposed      = "Proposed"
	countAppendFailed  = "AppendFailed"
	countSnapshot      = "SnapshotAppended"
	countInForce       = "GenerationsInForce"
)

// CounterNames lists the counters of the configuration.
var CounterNames = append([]string{
	countLogRead, countLogFailed, countOffsetExpired, countLogTruncated, countFollowed, countFollowFailed,
	countAdopted, countRefusedState, countPassed, countStatePassed, countLagging,
	countProposed, countAppendFailed, countSnapshot, countInForce,
}, tlconfig.OutcomeNames()...)
