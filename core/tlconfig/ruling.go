package tlconfig

import "errors"

var (
	errDamaged   = errors.New("the configuration's digest does not fit its items")
	errOtherName = errors.New("a part of the configuration stands under another name than its own")
)

// Outcome says what a record of the log did to the configuration.
type Outcome int

// The rulings of a fold.
const (
	// Ignored means a record that does not concern the configuration.
	Ignored Outcome = iota
	// Repeated means a record that was folded before.
	Repeated
	// Accepted means a proposal that is in force from its place on.
	Accepted
	// Outdated means a proposal whose base was not in force at its place.
	Outdated
	// Malformed means a proposal or snapshot that nobody can read.
	Malformed
	// StateUnknown means a proposal before the state in force is known.
	StateUnknown
	// TooNew means a record of a later version, which can't be followed.
	TooNew
	// Confirmed means a snapshot of what is known already.
	Confirmed
	// Restored means a snapshot that made the state in force known.
	Restored
	// Missing means that records before this one were never read.
	Missing
	// Diverged means a record whose digest does not fit the state here.
	Diverged
)

var rulings = [...]string{
	"Ignored", "Repeated", "Accepted", "Outdated", "Malformed", "Unjudged",
	"TooNew", "Confirmed", "Restored", "Missing", "Diverged",
}

// OutcomeNames returns the names of all rulings.
func OutcomeNames() []string {
	return rulings[:]
}

// String returns the ruling's name.
func (r Outcome) String() string {
	return rulings[r]
}
