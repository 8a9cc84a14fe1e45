package tlplace

import "time"

// Reason is why a request was refused.
type Reason int

// Reasons for refusals.
const (
	// NotRefused is the reason of a request that got a booking.
	NotRefused Reason = iota
	// NoEngines means that no known engine could run the request.
	NoEngines
	// TooLarge means that the request needs more memory than any engine may book.
	TooLarge
	// WaitTooLong means that the request would get a booking too late for its caller.
	WaitTooLong
	// NoVersion means that no known engine has the only version that may run the request.
	NoVersion
	// NoDecoder means that no decode engine has the only version that may run the request yet,
	// and that one is expected too late for its caller to wait.
	NoDecoder
)

var reasonNames = []string{"NotRefused", "NoEngines", "TooLarge", "WaitTooLong", "NoVersion", "NoDecoder"}

// String returns the reason's name.
func (r Reason) String() string {
	if r < 0 || int(r) >= len(reasonNames) {
		return "Unknown"
	}
	return reasonNames[r]
}

// Decision is the outcome of a request: a booking, or a refusal.
type Decision struct {
	// Request is the request's ID.
	Request string
	// Owner is the instance to notify.
	Owner Owner
	// Prefill is the engine that reads the prompt; empty where the decode engine does, or with ReusesPrefill.
	Prefill string
	// Decode is the engine that generates the answer.
	Decode string
	// ReusesPrefill is set where an earlier prefill of the prompt is still kept and need not be repeated.
	ReusesPrefill bool
	// Tokens is the memory booked at the decode engine.
	Tokens int
	// Beside is the number of requests at the decode engine, this one included; 0 if it is not known.
	Beside int
	// Refused is why there is no booking.
	Refused Reason
	// RetryAfter is the time after which a refused request is expected to find room.
	RetryAfter time.Duration
	// Waited is how long the request was in the queue.
	Waited time.Duration
}
