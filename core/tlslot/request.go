package tlslot

import (
	"slices"
	"time"

	"trefoillanding/core/tlplace"
)

// Request is a plain request that needs a slot.
type Request struct {
	// ID identifies one send; asking again under it doesn't queue the request again.
	ID string
	// Owner is the instance that sends the request.
	Owner tlplace.Owner
	// Rank is the priority of the request's organisation and route; 0 is the most urgent.
	Rank int
	// Organisation is the caller's organisation, and Weight what it may have in relation to
	// others; empty and 0 if there is none.
	Organisation string
	Weight       float64
	// Due is when the answer has to be complete to be on time; zero if there is no objective.
	Due time.Time
	// GiveUp is when the answer has to be complete at the latest.
	GiveUp time.Time
	// Avoid lists the IDs of endpoints that get the request only if there are no others.
	Avoid []string
	// MayProbe says that the request may be sent to an endpoint that has failed lately.
	MayProbe bool

	arrived time.Time
	// asked is when the owner last asked for the request.
	asked time.Time
	// level is the level of the organisation's share, as of the last sorting.
	level int
}

// avoids reports whether the request goes to an endpoint only if there are no others.
func (r *Request) avoids(endpoint string) bool {
	return slices.Contains(r.Avoid, endpoint)
}

// Decision is what the Book decided on a request.
type Decision struct {
	// Request is the ID of the request.
	Request string
	// Endpoint is the ID of the endpoint to which it may be sent; empty if it is refused.
	Endpoint string
	// RetryAfter is the time until a refused request is expected to find room; 0 if it is unknown.
	RetryAfter time.Duration
	// Waited is how long the request was queued.
	Waited time.Duration
}

// End says how a request with a slot ended.
type End struct {
	// Request is the ID of the request.
	Request string
	// Result is how its send ended.
	Result Result
	// Took is the time from the send to its end.
	Took time.Duration
}

// Result is how a send ended, as far as it matters to the Book.
type Result int

// The results of a send.
const (
	// Withdrawn says nothing of the endpoint: the request was not sent, or its caller left.
	Withdrawn Result = iota
	// Answered is a complete answer.
	Answered
	// TurnedAway is an answer that the request was not run for lack of capacity.
	TurnedAway
	// Failed is a connection that failed or broke, or an answer that did not come.
	Failed
	// Erred is a complete answer that reports a failure of the endpoint.
	Erred
)
