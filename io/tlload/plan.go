package tlload

import (
	"net/netip"
	"time"
)

// Plan bounds a load in count, rate and time.
type Plan struct {
	// BootstrapInstances are the instances that callers first ask which instances to use.
	BootstrapInstances []netip.AddrPort
	// Service is the service to call.
	Service string
	// Requests is the total number of requests.
	Requests int
	// Rate is the number of requests started per second.
	Rate float64
	// PromptTokens is the length of each prompt in tokens.
	PromptTokens int
	// MaxTokens bounds the length of each answer in tokens.
	MaxTokens int
	// Tries bounds the attempts of each request.
	Tries int
	// RequestTimeout bounds the time until the complete answer, retries included.
	RequestTimeout time.Duration
	// Check reports whether an answer is correct; nil accepts every answer.
	Check func(prompt, text string, tokens int) bool
}
