package tlcall

import "time"

// Call is what a caller's request says of itself.
type Call struct {
	// ID is unique for each attempt of a caller.
	ID string
	// Timeout is how long the caller waits; 0 where it did not say.
	Timeout time.Duration
	// PromptTokens is the number of tokens to read.
	PromptTokens int
	// MaxTokens is the most tokens to generate.
	MaxTokens int
	// Guess is the caller's guess of the tokens generated; 0 where it has none.
	Guess int
	// ResumeAfter is the last event that the caller has of an earlier attempt.
	ResumeAfter string
}

// ExpectedTokens returns the tokens that the answer is expected to have.
func (c Call) ExpectedTokens() int {
	if c.Guess > 0 {
		return min(c.Guess, max(c.MaxTokens, 1))
	}
	return c.MaxTokens
}
