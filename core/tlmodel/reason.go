package tlmodel

// The reasons with which an engine refuses or fails.
const (
	ReasonDead    = "Dead"
	ReasonFull    = "Full"
	ReasonUnknown = "Unknown"
	ReasonLapsed  = "Lapsed"
)
