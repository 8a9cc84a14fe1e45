package tlclaim

// Decision is what an instance may do with a key at one offset of the log.
type Decision int

// The decisions.
const (
	// Append means that no claim holds the key: a claim may be appended.
	Append Decision = iota
	// Send means that this claim holds the key: only its owner may send the call.
	Send
	// Replay means that the answer is in the log.
	Replay
	// Wait means that another claim holds the key.
	Wait
	// MayHaveRun means that the call may have been sent and no answer is known.
	MayHaveRun
	// Reused means that the key was claimed for a different request.
	Reused
	// AlreadyReleased means that this claim was released before.
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
