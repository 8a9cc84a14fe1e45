package tlpeer

// The counters of the mesh.
const (
	countAccepted      = "Accepted"
	countDialled       = "Dialled"
	countDialFailed    = "DialFailed"
	countStranger      = "StrangerRefused"
	countTooMany       = "TooManyOpening"
	countGarbage       = "GarbageFrame"
	countUnknownKind   = "UnknownKind"
	countBadBody       = "BadBody"
	countLateAnswer    = "LateAnswer"
	countQueueFull     = "QueueFull"
	countBusy          = "TooManyCalls"
	countSilent        = "SilentClosed"
	countIdle          = "IdleClosed"
	countLost          = "ConnectionLost"
	countReplaced      = "ReplacedByNewIncarnation"
	countFramesSent    = "FramesSent"
	countFramesTaken   = "FramesReceived"
	countBytesSent     = "BytesSent"
	countBytesReceived = "BytesReceived"
	countPanic         = "HandlerPanic"
	countDoubted       = "PeersAskedAbout"
	countPaused        = "WokeAfterPause"
	countRefuted       = "DoubtRefuted"
)

// CounterNames lists the counters of the mesh.
var CounterNames = []string{
	countAccepted, countDialled, countDialFailed, countStranger, countTooMany,
	countGarbage, countUnknownKind, countBadBody, countLateAnswer, countQueueFull,
	countBusy, countSilent, countIdle, countLost, countReplaced, countFramesSent,
	countFramesTaken, countBytesSent, countBytesReceived, countPanic,
	countDoubted, countPaused, countRefuted,
}
