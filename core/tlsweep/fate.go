package tlsweep

// Fate is what is known of an owner's life.
type Fate int

// The fates of an owner.
const (
	// Live means that the owner was heard of lately.
	Live Fate = iota
	// Suspect means that nothing was heard of the owner for a while.
	Suspect
	// Gone means that the owner's process has ended for certain.
	Gone
)

// String returns the fate's name.
func (f Fate) String() string {
	switch f {
	case Live:
		return "Live"
	case Suspect:
		return "Suspect"
	default:
		return "Gone"
	}
}
