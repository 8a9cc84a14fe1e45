package tlcall

import "time"

// Call is the metadata of a caller's request.
type Call struct {
	// ID identifies the attempt; it is unique for each attempt of a caller.
	ID string
	// Key is the key of the caller's organisation; it must not be logged or passed on.
	Key string
	// Timeout is how long the caller waits; 0 if it is not given.
	Timeout time.Duration
	// PromptTokens is the number of tokens in the prompt.
	PromptTokens int
	// MaxTokens is the maximum number of tokens to generate.
	MaxTokens int
	// NamesTokens says that the request gives the two numbers above.
	NamesTokens bool
	// OutputHint is the caller's estimate of the tokens generated; 0 if it is not given.
	OutputHint int
	// ResumeAfter is the id of the last event that the caller received in an earlier attempt.
	ResumeAfter string
	// Resumes is the ID of the attempt that brought the stream's first event.
	Resumes string
	// Prompt lists all parts of the prompt as the caller wrote them, those that no other
	// request shares included.
	Prompt string
	// Parts holds the IDs of the parts of the prompt that other requests may share, in order.
	Parts []string
}

// ExpectedTokens returns the expected number of tokens of the answer.
func (c Call) ExpectedTokens() int {
	if c.OutputHint > 0 {
		return min(c.OutputHint, max(c.MaxTokens, 1))
	}
	return c.MaxTokens
}
