package tlclaim

// State says what became of a key.
type State uint8

// The states of a key.
const (
	// Free is a key that no claim holds.
	Free State = iota
	// Held is a key whose holder may send, or may have sent.
	Held
	// Answered is a key whose call was answered.
	Answered
	// Unknown is a key whose call was sent and not answered.
	Unknown
	// Released is a key whose last claim was given up before anything was sent.
	Released
	// ClaimedInSnapshot is a key without a time of which only that it was claimed is known.
	ClaimedInSnapshot
)

var stateNames = [...]string{"Free", "Held", "Ran", "Unknown", "Released", "Kept"}

// String returns the state's name.
func (s State) String() string {
	return stateNames[s]
}

// isClaimed says that a request may have been sent.
func (s State) isClaimed() bool {
	return s != Free && s != Released
}
