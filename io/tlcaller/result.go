package tlcaller

import "time"

// Result is the answer to a completion request and how it was delivered.
type Result struct {
	// Text is the text of the answer, incomplete if the request failed.
	Text string
	// Tokens counts the tokens of Text.
	Tokens int
	// FirstToken is the time from the call of Stream to the first token.
	FirstToken time.Duration
	// LongestGap is the longest time between two consecutive tokens.
	LongestGap time.Duration
	// Resumes counts retries after the first token, which resume the stream.
	Resumes int
	// Restarts counts retries before the first token, which start the request again.
	Restarts int
	// Finish is the finish reason of the last token received.
	Finish string
}
