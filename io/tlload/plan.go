package tlload

import (
	"net/netip"
	"time"
)

// Plan bounds a load in count, rate and time.
type Plan struct {
	// BootstrapInstances are instances to ask which to use.
	BootstrapInstances []netip.AddrPort
	// Service is the service to call.
	Service string
	// Requests is how many requests are sent in all.
	Requests int
	// Rate is how many are sent in a second.
	Rate float64
	// PromptTokens is the length of a prompt.
	PromptTokens int
	// MaxTokens bounds an answer.
	MaxTokens int
	// Tries is how often a request is tried.
	Tries int
	// RequestTimeout is how long a caller waits for its whole answer.
	RequestTimeout time.Duration
	// Check compares an answer with what it should be; nil checks nothing.
	Check func(prompt, text string, tokens int) bool
}
