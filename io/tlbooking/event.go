package tlbooking

// Event is how a request with a place goes on.
type Event int

// The events that owners report.
const (
	// Prefilled means that the prompt has been read.
	Prefilled Event = iota + 1
	// PrefillFailed means that the prefill engine was silent.
	PrefillFailed
	// PrefillConnectionBroke means that the connection to the prefill engine broke, or that it refused.
	PrefillConnectionBroke
	// PrefilledAtDecode means that the decode engine has read the prompt itself.
	PrefilledAtDecode
	// Completed means that the answer is complete.
	Completed
	// DecodeFailed means that the decode engine was silent, or answered with a failure.
	DecodeFailed
	// DecodeConnectionBroke means that the connection to the decode engine broke.
	DecodeConnectionBroke
	// DecodeSilent means that nothing has come from the decode engine for long; the request still waits.
	DecodeSilent
	// Stalled means that the answer paused for long on its way.
	Stalled
	// DecodeFull means that the decode engine had no room for the request, or that its prompt was lost on the way there.
	DecodeFull
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
