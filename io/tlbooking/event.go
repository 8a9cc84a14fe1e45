package tlbooking

// Event is a step in the progress of a request that has a reservation.
type Event int

// The events that a request's owner reports to the home.
const (
	// Prefilled means that the prefill engine has processed the prompt.
	Prefilled Event = iota + 1
	// PrefillFailed means that the prefill engine did not answer in time.
	PrefillFailed
	// PrefillConnectionBroke means that the connection to the prefill engine broke, or that the engine refused the request.
	PrefillConnectionBroke
	// PrefilledAtDecode means that the decode engine has processed the prompt itself, without a prefill engine.
	PrefilledAtDecode
	// Completed means that the answer was delivered completely.
	Completed
	// DecodeFailed means that the decode engine did not answer in time, or answered with an error.
	DecodeFailed
	// DecodeConnectionBroke means that the connection to the decode engine broke.
	DecodeConnectionBroke
	// DecodeSilent means that the decode engine has sent nothing for longer than expected; the request keeps waiting for it.
	DecodeSilent
	// Stalled means that the answer paused on its way from the decode engine for longer than expected.
	Stalled
	// DecodeFull means that the decode engine had no room for the request, or that the processed prompt was lost on the way there.
	DecodeFull
	// Ended means that the request ended for any other reason.
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
