package tlsweep

// Reason says why an attempt is cancelled; it is also the name of a counter.
type Reason string

// The reasons for which an attempt is cancelled.
const (
	// OwnerGone means that the owner is gone and no other instance took the attempt over.
	OwnerGone Reason = "OwnerGone"
	// Disowned means that the owner does not know the attempt.
	Disowned Reason = "Disowned"
	// OwnerSilent means that the owner was unreachable for longer than
	// Limits.SilentTimeout, with its connection to the engine closed.
	OwnerSilent Reason = "OwnerSilent"
	// OwnerPaused means that the owner was unreachable for longer than
	// Limits.PausedTimeout, even if its connection to the engine is open.
	OwnerPaused Reason = "OwnerPaused"
)

// Reasons lists all reasons.
var Reasons = []Reason{OwnerGone, Disowned, OwnerSilent, OwnerPaused}
