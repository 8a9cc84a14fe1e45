package tlroute

import "time"

// Route leads the requests of a host and path prefix to services.
type Route struct {
	// Name is unique within a configuration.
	Name string
	// Host is the host of the requests, in lower case and without a port.
	Host string
	// Prefix begins the path; it begins and ends with a slash.
	Prefix string
	// Kind says what may be repeated.
	Kind Kind
	// Timeout is the longest time that a request is kept waiting; 0 sets no bound.
	Timeout time.Duration
	// Objective is the time within which an answer earns its full credit.
	Objective time.Duration
	// GapObjective is the longest pause between events of a stream that is on time.
	GapObjective time.Duration
	// Rank orders routes, 0 being the most urgent.
	Rank int
	// Attempts is the most endpoints that a request may run on.
	Attempts int
	// Targets are the services with their weights.
	Targets []Target
	// Resumable says that a stream may go on at another endpoint.
	Resumable bool
}

// Target is a service with its share of a route.
type Target struct {
	Service string
	Weight  float64
}

// MayRepeat says whether a request may be sent again after it may have run.
func (r Route) MayRepeat() bool {
	return r.Kind == Idempotent
}

// Pick returns the service for a draw from 0 up to 1.
func (r Route) Pick(draw float64) string {
	var total float64
	for _, t := range r.Targets {
		total += t.Weight
	}
	draw *= total
	for _, t := range r.Targets {
		if draw < t.Weight {
			return t.Service
		}
		draw -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
