package tlplace

import "time"

// Options are the figures of a book.
type Options struct {
	// Memory is the room of a decode engine for tokens.
	Memory int
	// Slots is the most requests of a decode engine at once.
	Slots int
	// Block is the unit of memory in tokens.
	Block int
	// OutputShare is the part of an expected answer that is booked: requests
	// on one engine grow at different times, so that their peaks don't add up.
	OutputShare float64
	// MemoryShare is the part of the memory that is booked; the rest takes what outgrows its guess.
	MemoryShare float64
	// ReadRate is the number of prompt tokens that a prefill engine reads in a second, before any was measured.
	ReadRate float64
	// ReadSetup is the part of a prefill's time that does not depend on the prompt.
	ReadSetup time.Duration
	// Ahead is how long before a prefill engine is free the next prompt is sent to it; it covers the way there.
	Ahead time.Duration
	// FirstEvent is the time from the end of a prefill to the first event at the caller: the
	// way of the memory, a step of the decode engine for each token of the event, and its margin.
	FirstEvent time.Duration
	// LateMargin is kept, beside a slow prefill, between the latest start of a request and its caller's leaving.
	LateMargin time.Duration
	// DirectAfter is the wait for a prefill engine after which a decode engine reads the prompt itself.
	DirectAfter time.Duration
	// DirectMost is the most prompts that a decode engine reads at once: each slows the answers beside it.
	DirectMost int
	// KeepAfter is the wait after which an engine's memory is kept for the request whose turn it is.
	KeepAfter time.Duration
	// DoubtFor is how long an engine that failed a request gets no other; it doubles with each further failure.
	DoubtFor time.Duration
	// LongestDoubt bounds that.
	LongestDoubt time.Duration
	// FullPause is how long an engine that turned out to be full gets no other request.
	FullPause time.Duration
	// BookedFor bounds how long a booking stands without a word from its owner.
	BookedFor time.Duration
	// Spread is the part of a time to come back that is drawn at random, so that callers don't return together.
	Spread float64
}

// bookable returns the tokens of an engine's memory that may be booked.
func (o Options) bookable() int {
	return int(o.MemoryShare * float64(o.Memory))
}

// DefaultOptions returns the figures for engines with a memory and a number of slots.
func DefaultOptions(memory, slots int) Options {
	return Options{
		Memory:       memory,
		Slots:        slots,
		Block:        16,
		OutputShare:  0.8,
		MemoryShare:  0.97,
		ReadRate:     55_000,
		ReadSetup:    30 * time.Millisecond,
		Ahead:        30 * time.Millisecond,
		FirstEvent:   160 * time.Millisecond,
		LateMargin:   250 * time.Millisecond,
		DirectAfter:  250 * time.Millisecond,
		DirectMost:   1,
		KeepAfter:    400 * time.Millisecond,
		DoubtFor:     800 * time.Millisecond,
		LongestDoubt: 4 * time.Second,
		FullPause:    150 * time.Millisecond,
		BookedFor:    20 * time.Second,
		Spread:       0.5,
	}
}
