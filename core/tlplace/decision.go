package tlplace

import "time"

// Reason says why a request was refused.
type Reason int

// The reasons of refusals.
const (
	// NotRefused is the reason of a request that got a place.
	NotRefused Reason = iota
	// NoEngines means that no engine is known that could run the request.
	NoEngines
	// TooLarge means that the request is larger than any engine's memory.
	TooLarge
	// WaitTooLong means that the caller would leave before its turn.
	WaitTooLong
)

var reasonNames = []string{"NotRefused", "NoEngines", "TooLarge", "WaitTooLong"}

// String returns the reason's name.
func (r Reason) String() string {
	return reasonNames[r]
}

// Decision is the answer to a request.
type Decision struct {
	// Request is its ID.
	Request string
	// Owner is who has to be told.
	Owner Owner
	// Prefill is the engine that reads the prompt; empty where the decode engine does.
	Prefill string
	// Decode is the engine that generates.
	Decode string
	// ReusesPrefill says that the prompt need not be read again.
	ReusesPrefill bool
	// Tokens is the memory booked there.
	Tokens int
	// Refused says why there is no place.
	Refused Reason
	// RetryAfter is when a refused request would find room.
	RetryAfter time.Duration
	// Waited is how long the request was in the queue.
	Waited time.Duration
}
