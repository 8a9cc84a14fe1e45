package tlsched

// Counter identifies one of the scheduler's counters.
type Counter int

// The counters of a scheduler: one for each reason of a refusal, retry, dropped
// message or cancellation, and some for placed requests.
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
	counterCount
)

var counterNames = [counterCount]string{
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
type Counts [counterCount]uint64

// Each calls f for every counter, including those at zero.
func (c Counts) Each(f func(Counter, uint64)) {
	for i, n := range c {
		f(Counter(i), n)
	}
}
