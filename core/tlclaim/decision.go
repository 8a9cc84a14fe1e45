package tlclaim

// Decision says what an instance may do with a key at one place in the log.
type Decision int

// The decisions.
const (
	// Append is for a key that no claim holds: a claim may be appended.
	Append Decision = iota
	// Send is for the holder alone.
	Send
	// Replay is for a key whose answer is in the log.
	Replay
	// Wait is for a key that another claim holds.
	Wait
	// MayHaveRun is for a key whose call was sent and not answered.
	MayHaveRun
	// Reused is for a key that holds another request.
	Reused
	// AlreadyReleased is for a claim that was released.
	AlreadyReleased
)

var decisionNames = [...]string{"Append", "Send", "Replay", "Wait", "MayHaveRun", "Reused", "GivenUp"}

// String returns the decision's name.
func (d Decision) String() string {
	return decisionNames[d]
}

func (e Entry) decide(nonce uint64, d Digest) Decision {
	switch {
	case e.State == Free || e.State == Released:
		return Append
	case e.State == ClaimedInSnapshot:
		return MayHaveRun
	case e.Digest != d:
		return Reused
	case e.State == Answered:
		return Replay
	case e.State == Unknown:
		return MayHaveRun
	case e.Nonce == nonce:
		return Send
	}
	return Wait
}
