package tlrelay

import (
	"time"

	"trefoillanding/core/tlwire"
)

// Request is a caller's request for a completion.
type Request struct {
	// ID is the request's unique id.
	ID string
	// Organisation is the customer that is billed.
	Organisation string
	// Service is the requested service.
	Service tlwire.Service
	// Model is the model to run.
	Model string
	// Adapter is the adapter to run with it, or empty.
	Adapter string
	// Version is the model's version.
	Version string
	// Prompt is the text to complete.
	Prompt string
	// MaxTokens is the largest number of tokens in the answer.
	MaxTokens int
	// Arrived is when the request arrived.
	Arrived time.Time
	// Due is the deadline of the first token.
	Due time.Time
	// RetryTimeout is how long a request that has started on an engine is retried
	// while every pool refuses it.
	RetryTimeout time.Duration
	// BodyDigest is the digest of the caller's request body.
	BodyDigest uint64
}
