package tlsched

// Counter names something that the scheduler counts.
type Counter int

// The counters of a scheduler, one for each reason of a refusal, retry, drop or cancel, and some for what was placed.
const (
	RefusedQueueFull Counter = iota
	RefusedWaitTooLong
	RefusedPoolBusy
	RefusedNoEndpoint
	RefusedPromptTooLong
	RefusedRetriesSpent
	RetriedPrefillFailed
	RetriedTransferFailed
	RetriedDecodeFailed
	RetriedResultLapsed
	RetriedEngineGone
	RetriedResubmitted
	RetriedOutgrown
	DelayedRetry
	MovedTransfer
	DroppedStaleReport
	DroppedUnknownRequest
	DroppedDuplicate
	CancelledWaiting
	CancelledPrefilling
	CancelledHeld
	CancelledTransferring
	CancelledDecoding
	PrefillWasted
	PlacedOnTime
	PlacedLate
	PlacedOnBet
	Finished
	counters
)

var counterNames = [counters]string{
	"RefusedQueueFull", "RefusedWaitTooLong", "RefusedPoolBusy", "RefusedNoEndpoint", "RefusedPromptTooLong", "RefusedRetriesSpent",
	"RetriedPrefillFailed", "RetriedTransferFailed", "RetriedDecodeFailed", "RetriedResultLapsed",
	"RetriedEngineGone", "RetriedResubmitted", "RetriedOutgrown", "DelayedRetry", "MovedTransfer",
	"DroppedStaleReport", "DroppedUnknownRequest", "DroppedDuplicate",
	"CancelledWaiting", "CancelledPrefilling", "CancelledHeld", "CancelledTransferring", "CancelledDecoding",
	"PrefillWasted", "PlacedOnTime", "PlacedLate", "PlacedOnBet", "Finished",
}

// String returns the counter's name.
func (c Counter) String() string {
	return counterNames[c]
}

// Counts holds the value of every counter.
type Counts [counters]uint64

// Each calls f for every counter, those at zero included.
func (c Counts) Each(f func(Counter, uint64)) {
	for i, n := range c {
		f(Counter(i), n)
	}
}
