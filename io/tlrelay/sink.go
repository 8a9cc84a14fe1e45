package tlrelay

// Event is one token on its way to the caller.
type Event struct {
	// Prefix is the signed part of the event id.
	Prefix string
	// Index is the token's position in the answer, from 0.
	Index int
	// Text is the token's text.
	Text string
	// Finish is the finish reason, set only on the last token.
	Finish string
}

// Sink writes the tokens of one answer; an error means that the caller has disconnected.
type Sink struct {
	// Emit writes the next token.
	Emit func(e Event) error
	// Flush sends the tokens written so far.
	Flush func() error
}
