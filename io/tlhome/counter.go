package tlhome

// Names of the counters of Homes.
const (
	homeTaken     = "HomeTaken"
	homeLeft      = "HomeLeft"
	unknownPool   = "UnknownPool"
	duplicate     = "DuplicateSubmission"
	submitted     = "Submitted"
	loadFailed    = "LoadFailed"
	engineGone    = "EngineGone"
	engineBack    = "EngineBack"
	engineLeaving = "EngineLeaving"
	eventsFailed  = "CacheEventsFailed"
	auditFailed   = "AuditFailed"
	auditDropped  = "AuditDropped"
)

var counterNames = []string{
	homeTaken, homeLeft, unknownPool, duplicate, submitted, loadFailed, engineGone,
	engineBack, engineLeaving, eventsFailed, auditFailed, auditDropped,
}
