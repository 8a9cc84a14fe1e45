package tlpeer

// The counters of the mesh.
const (
	countAccepted           = "Accepted"
	countDialled            = "Dialled"
	countDialFailed         = "DialFailed"
	countPeerRefused        = "StrangerRefused"
	countTooManyOpening     = "TooManyOpening"
	countMalformedFrame     = "GarbageFrame"
	countUnknownKind        = "UnknownKind"
	countBadBody            = "BadBody"
	countLateAnswer         = "LateAnswer"
	countQueueFull          = "QueueFull"
	countTooManyCalls       = "TooManyCalls"
	countSilentClosed       = "SilentClosed"
	countIdleClosed         = "IdleClosed"
	countConnectionEnded    = "ConnectionLost"
	countConnectionReplaced = "ReplacedByNewIncarnation"
	countFramesSent         = "FramesSent"
	countFramesReceived     = "FramesReceived"
	countBytesSent          = "BytesSent"
	countBytesReceived      = "BytesReceived"
	countHandlerPanic       = "HandlerPanic"
	countSuspectQueried     = "PeersAskedAbout"
	countSelfPaused         = "WokeAfterPause"
	countSuspicionRefuted   = "DoubtRefuted"
)

// CounterNames lists the counters of the mesh.
var CounterNames = []string{
	countAccepted, countDialled, countDialFailed, countPeerRefused, countTooManyOpening,
	countMalformedFrame, countUnknownKind, countBadBody, countLateAnswer, countQueueFull,
	countTooManyCalls, countSilentClosed, countIdleClosed, countConnectionEnded, countConnectionReplaced, countFramesSent,
	countFramesReceived, countBytesSent, countBytesReceived, countHandlerPanic,
	countSuspectQueried, countSelfPaused, countSuspicionRefuted,
}
