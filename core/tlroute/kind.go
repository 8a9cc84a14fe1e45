package tlroute

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of routes.
const (
	// AtMostOnce is a request that runs at most once for each attempt of a caller.
	AtMostOnce Kind = iota
	// Idempotent is a request that may run more than once.
	Idempotent
	// Stream is a request that is answered by a series of events; it runs at most once unless it is resumed.
	Stream
)

var kindNames = []string{"Once", "Idempotent", "Stream"}

// String returns the kind's name.
func (k Kind) String() string {
	return kindNames[k]
}
