package tlconfig

import "errors"

var (
	errDigestMismatch = errors.New("the configuration's digest does not match its items")
	errNameMismatch   = errors.New("the name of a configuration item does not match the name in its body")
)

// Outcome is the effect of a log record on the configuration.
type Outcome int

// The outcomes of StateMachine.Apply.
const (
	// Ignored means that the record does not concern the configuration.
	Ignored Outcome = iota
	// Repeated means that the record was applied before.
	Repeated
	// Accepted means that the proposal is in force from its offset on.
	Accepted
	// Outdated means that the proposal's base was not the generation in force at its offset.
	Outdated
	// Malformed means that the proposal or snapshot is invalid for every reader.
	Malformed
	// StateUnknown means that the state in force is not known yet: the proposal
	// can't be evaluated, or the snapshot does not cover all unread records.
	StateUnknown
	// TooNew means that the record has a later version, which can't be applied.
	TooNew
	// Confirmed means a snapshot of a state that is already known.
	Confirmed
	// Restored means that the state in force was read from the snapshot.
	Restored
	// Missing means that records before this one were not read.
	Missing
	// Diverged means that the record's digest does not match the local state.
	Diverged
)

var outcomeNames = [...]string{
	"Ignored", "Repeated", "Accepted", "Outdated", "Malformed", "Unjudged",
	"TooNew", "Confirmed", "Restored", "Missing", "Diverged",
}

// OutcomeNames returns the names of all outcomes.
func OutcomeNames() []string {
	return outcomeNames[:]
}

// String returns the outcome's name.
func (o Outcome) String() string {
	return outcomeNames[o]
}
