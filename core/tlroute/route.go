package tlroute

import "time"

// Route maps the requests of a host and path prefix to services.
type Route struct {
	// Name is unique within a configuration.
	Name string
	// Host is the host of the requests, in lower case and without a port.
	Host string
	// Prefix is the prefix of the path; it begins and ends with a slash.
	Prefix string
	// Kind says whether requests may be retried.
	Kind Kind
	// Timeout is the longest time that a request may take; 0 means no limit.
	Timeout time.Duration
	// Objective is the latency objective: an answer within this time gets full credit.
	Objective time.Duration
	// GapObjective is the longest time between events of a stream that still counts as on time.
	GapObjective time.Duration
	// Rank is the priority of the route; 0 is the most urgent.
	Rank int
	// Attempts is the maximum number of endpoints that a request may run on.
	Attempts int
	// Targets are the services that requests are split between.
	Targets []Target
	// IsPublic says that requests need no key.
	IsPublic bool
	// Resumable says that a stream may be resumed at another endpoint.
	Resumable bool
}

// Target is a service and its relative share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// MayRepeat reports whether a request may be retried although it may have run.
func (r Route) MayRepeat() bool {
	return r.Kind == Idempotent
}

// Pick returns a service by weight for a random number in [0, 1).
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
