package tlrelay

import (
	"time"

	"trefoillanding/core/tlwire"
)

// Request is a caller's completion.
type Request struct {
	// ID is unique.
	ID string
	// Organisation is who pays for it.
	Organisation string
	// Service is the service that was asked for.
	Service tlwire.Service
	// Model is the model to run.
	Model string
	// Adapter is the adapter to run with it, or empty.
	Adapter string
	// Version is the model's version.
	Version string
	// Prompt is the text to complete.
	Prompt string
	// MaxTokens bounds the answer.
	MaxTokens int
	// Arrived is when the request came.
	Arrived time.Time
	// Due is when the first token should be out.
	Due time.Time
	// RetryTimeout is how long a request that has begun looks for engines to go on.
	RetryTimeout time.Duration
	// BodyDigest is the digest of the caller's body.
	BodyDigest uint64
}
