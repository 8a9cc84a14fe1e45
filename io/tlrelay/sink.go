package tlrelay

// Event is one token on its way to the caller.
type Event struct {
	// Prefix is the signed part of the event's id.
	Prefix string
	// Index counts the answer's tokens from 0.
	Index int
	// Text is the token.
	Text string
	// Finish is set on the last token.
	Finish string
}

// Sink takes the tokens of one answer; an error means that the caller is gone.
type Sink struct {
	// Emit takes the next token.
	Emit func(e Event) error
	// Flush sends what was emitted.
	Flush func() error
}
