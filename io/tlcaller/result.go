package tlcaller

import "time"

// Result is how a completion went.
type Result struct {
	// Text is the whole answer.
	Text string
	// Tokens counts its tokens.
	Tokens int
	// FirstToken is the wait for the first token.
	FirstToken time.Duration
	// LongestGap is the longest wait between two tokens.
	LongestGap time.Duration
	// Resumes counts how often the stream went on elsewhere.
	Resumes int
	// Restarts counts how often the request was sent anew before its first token.
	Restarts int
	// Finish is why the answer ended.
	Finish string
}
