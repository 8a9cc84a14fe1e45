package tlrelay

// Names of the counters of a Relay.
const (
	requests        = "Requests"
	answered        = "Answered"
	resumed         = "Resumed"
	callerGone      = "CallerGone"
	paused          = "PausedWithoutPool"
	spilled         = "Spilled"
	askedAgain      = "AskedAgain"
	prefillFailed   = "PrefillFailed"
	transferFailed  = "TransferFailed"
	transferStalled = "TransferStalled"
	decodeFailed    = "DecodeFailed"
	abandoned       = "Abandoned"
	staleStep       = "StaleStep"
	streamTaken     = "StreamTaken"
	homeChanged     = "HomeChanged"
	reconnected     = "Reconnected"
	tokens          = "Tokens"
	wastedPrefill   = "WastedPrefillTokens"
	prefillTokens   = "PrefillTokens"
)

var counterNames = []string{
	requests, answered, resumed, callerGone, spilled, paused, askedAgain, prefillFailed,
	transferFailed, transferStalled, decodeFailed, abandoned, staleStep, streamTaken,
	homeChanged, reconnected,
	tokens, wastedPrefill, prefillTokens,
}
