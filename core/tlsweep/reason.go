package tlsweep

// Reason says why an attempt is swept; it is also the name of a counter.
type Reason string

// The reasons for which an attempt is swept.
const (
	// OwnerGone means that the owner is gone and nobody took the attempt over.
	OwnerGone Reason = "OwnerGone"
	// Disowned means that the owner does not know the attempt.
	Disowned Reason = "Disowned"
	// OwnerSilent means that the owner could not be asked for too long.
	OwnerSilent Reason = "OwnerSilent"
	// OwnerPaused means that the owner still holds its connection but was silent
	// for too long.
	OwnerPaused Reason = "OwnerPaused"
)

// Reasons lists every reason.
var Reasons = []Reason{OwnerGone, Disowned, OwnerSilent, OwnerPaused}
