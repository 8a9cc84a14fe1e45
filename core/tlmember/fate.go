package tlmember

// Liveness says whether the owner of a stream may still be at work.
type Liveness int

// The fates of an owner.
const (
	// Alive means that nothing speaks against it.
	Alive Liveness = iota
	// Suspected means that it can't be reached and that others are asked.
	Suspected
	// Gone means that what it held may be taken back.
	Gone
)

// String returns the fate's name.
func (f Liveness) String() string {
	switch f {
	case Alive:
		return "Alive"
	case Suspected:
		return "Suspected"
	default:
		return "Gone"
	}
}
