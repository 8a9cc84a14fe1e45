package tlclaim

// State is the state of a key.
type State uint8

// The states of a key.
const (
	// Free means that no claim holds the key.
	Free State = iota
	// Held means that the holder may send the call, or may have sent it.
	Held
	// Answered means that the call was answered.
	Answered
	// Unknown means that the call was sent and no answer was received.
	Unknown
	// Released means that the last claim was released before anything was sent.
	Released
	// ClaimedInSnapshot means that a key without a timestamp is known only from a
	// key snapshot: it was claimed, by which request is unknown.
	ClaimedInSnapshot
)

var stateNames = [...]string{"Free", "Held", "Ran", "Unknown", "Released", "Kept"}

// String returns the state's name.
func (s State) String() string {
	return stateNames[s]
}

// isClaimed reports whether a request may have been sent.
func (s State) isClaimed() bool {
	return s != Free && s != Released
}
