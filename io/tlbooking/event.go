package tlbooking

// Event is how a request with a place goes on.
type Event int

// The events that owners report.
const (
	// Prefilled means that the prompt has been read.
	Prefilled Event = iota + 1
	// PrefillFailed means that the prefill engine was silent.
	PrefillFailed
	// PrefillBroke means that the connection to the prefill engine broke, or that it refused.
	PrefillBroke
	// Begun means that the decode engine has read the prompt itself.
	Begun
	// Completed means that the answer is complete.
	Completed
	// DecodeFailed means that the decode engine was silent, or answered with a failure.
	DecodeFailed
	// Broke means that the connection to the decode engine broke.
	Broke
	// Muted means that nothing has come from the decode engine for long; the request still waits.
	Muted
	// Stalled means that the answer paused for long on its way.
	Stalled
	// Full means that the decode engine had no room for the request, or that its prompt was lost on the way there.
	Full
	// Ended means that the request has ended for another reason.
	Ended
)

var eventNames = []string{
	"None", "Prefilled", "PrefillFailed", "PrefillBroke", "Begun", "Served", "Failed", "Broke", "Muted", "Stalled", "Full", "Ended",
}

// String returns the event's name.
func (e Event) String() string {
	if e < 0 || int(e) >= len(eventNames) {
		return "Unknown"
	}
	return eventNames[e]
}
