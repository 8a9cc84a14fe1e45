package tlverdict

// Reason names why a request was refused or failed; it is also the name of the
// counter that counts such refusals.
type Reason string

// The reasons for which a request is refused or fails.
const (
	BadBody         Reason = "BadBody"
	BadHeader       Reason = "BadHeader"
	HeaderTooLarge  Reason = "HeaderTooLarge"
	NotAllowed      Reason = "NotAllowed"
	ConfigRejected  Reason = "ConfigRejected"
	ConfigConflict  Reason = "ConfigConflict"
	ConfigUnknown   Reason = "ConfigUnknown"
	BadEventID      Reason = "BadEventID"
	MissingKey      Reason = "MissingKey"
	KeyTooOld       Reason = "KeyTooOld"
	KeyReused       Reason = "KeyReused"
	KeyAhead        Reason = "KeyAhead"
	AnswerNotKept   Reason = "AnswerNotKept"
	UnknownService  Reason = "UnknownService"
	UnknownModel    Reason = "UnknownModel"
	UnknownPath     Reason = "UnknownPath"
	UnknownMethod   Reason = "UnknownMethod"
	BodyTooLarge    Reason = "BodyTooLarge"
	PromptTooLong   Reason = "PromptTooLong"
	PartQuarantined Reason = "PartQuarantined"
	OriginUnknown   Reason = "OriginUnknown"
	OriginUnread    Reason = "OriginUnread"
	VersionGone     Reason = "VersionGone"
	QueueFull       Reason = "QueueFull"
	WaitTooLong     Reason = "WaitTooLong"
	PoolBusy        Reason = "PoolBusy"
	TooManyRequests Reason = "TooManyRequests"
	NoEndpoint      Reason = "NoEndpoint"
	NoHome          Reason = "NoHome"
	NoConfig        Reason = "NoConfig"
	LogUnavailable  Reason = "LogUnavailable"
	LogBehind       Reason = "LogBehind"
	CallerGone      Reason = "CallerGone"
	EndpointFailed  Reason = "EndpointFailed"
	RetriesSpent    Reason = "RetriesSpent"
	EndpointTimeout Reason = "EndpointTimeout"
	StreamGone      Reason = "StreamGone"
	StreamTaken     Reason = "StreamTaken"
	ClaimHeld       Reason = "ClaimHeld"
	Internal        Reason = "Internal"
)
