package tlmember

// Liveness says whether the owner of a stream may still be running.
type Liveness int

// The liveness values of an owner.
const (
	// Alive means that the owner is not suspected.
	Alive Liveness = iota
	// Suspected means that the owner seems unreachable and peers are being asked about it.
	Suspected
	// Gone means that the owner is given up and what it held may be reclaimed.
	Gone
)

// String returns the name of the value.
func (l Liveness) String() string {
	switch l {
	case Alive:
		return "Alive"
	case Suspected:
		return "Suspected"
	default:
		return "Gone"
	}
}
