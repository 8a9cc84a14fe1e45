package tlmodel

// Reasons for which an engine refuses or fails a request.
const (
	ReasonDead    = "Dead"
	ReasonFull    = "Full"
	ReasonUnknown = "Unknown"
	ReasonLapsed  = "Lapsed"
)
