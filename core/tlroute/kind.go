package tlroute

// Kind says whether the requests of a route may be retried.
type Kind int

// The kinds of routes.
const (
	// AtMostOnce requests run at most once for each attempt of a caller.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a stream of events; they run at most once unless they are resumed.
	Stream
)

var kindNames = []string{"Once", "Idempotent", "Stream"}

// String returns the name of the kind.
func (k Kind) String() string {
	return kindNames[k]
}
