package tllimit

import "time"

// pollShare is the largest part of a limit that queries of an endpoint's load may use.
const pollShare = 0.1

// PollInterval returns the least time between queries of the load of an endpoint with a limit.
func PollInterval(rate float64) time.Duration {
	return time.Duration(float64(time.Second) / (pollShare * max(rate, MinRate)))
}
