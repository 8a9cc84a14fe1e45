package tlplace

import "time"

// Options are the figures of a book.
type Options struct {
	// Memory is the room of a decode engine for tokens.
	Memory int
	// Slots is the most requests of a decode engine at once.
	Slots int
	// BlockSize is the unit of memory in tokens.
	BlockSize int
	// OutputShare is the part of an expected answer that is booked: requests
	// on one engine grow at different times, so that their peaks don't add up.
	OutputShare float64
	// MemoryShare is the part of the memory that is booked; the rest takes what outgrows its guess.
	MemoryShare float64
	// PrefillRate is the number of prompt tokens that a prefill engine reads in a second, before any was measured.
	PrefillRate float64
	// PrefillSetup is the part of a prefill's time that does not depend on the prompt.
	PrefillSetup time.Duration
	// DispatchAhead is how long before a prefill engine is free the next prompt is sent to it; it covers the way there.
	DispatchAhead time.Duration
	// FirstEventDelay is the time from the end of a prefill to the first event at the caller: the
	// way of the memory, a step of the decode engine for each token of the event, and its margin.
	FirstEventDelay time.Duration
	// StartMargin is kept, beside a slow prefill, between the latest start of a request and its caller's leaving.
	StartMargin time.Duration
	// DirectPrefillAfter is the wait for a prefill engine after which a decode engine reads the prompt itself.
	DirectPrefillAfter time.Duration
	// MaxDirectPrefills is the most prompts that a decode engine reads at once: each slows the answers beside it.
	MaxDirectPrefills int
	// ReserveAfter is the wait after which an engine's memory is kept for the request whose turn it is.
	ReserveAfter time.Duration
	// FailureBackoff is how long an engine that failed a request gets no other; it doubles with each further failure.
	FailureBackoff time.Duration
	// MaxFailureBackoff bounds that.
	MaxFailureBackoff time.Duration
	// FullBackoff is how long an engine that turned out to be full gets no other request.
	FullBackoff time.Duration
	// BookingTimeout bounds how long a booking stands without a word from its owner.
	BookingTimeout time.Duration
	// RetryJitter is the part of a time to come back that is drawn at random, so that callers don't return together.
	RetryJitter float64
}

// bookable returns the tokens of an engine's memory that may be booked.
func (o Options) bookable() int {
	return int(o.MemoryShare * float64(o.Memory))
}

// DefaultOptions returns the figures for engines with a memory and a number of slots.
func DefaultOptions(memory, slots int) Options {
	return Options{
		Memory:             memory,
		Slots:              slots,
		BlockSize:          16,
		OutputShare:        0.8,
		MemoryShare:        0.97,
		PrefillRate:        55_000,
		PrefillSetup:       30 * time.Millisecond,
		DispatchAhead:      30 * time.Millisecond,
		FirstEventDelay:    160 * time.Millisecond,
		StartMargin:        250 * time.Millisecond,
		DirectPrefillAfter: 250 * time.Millisecond,
		MaxDirectPrefills:  1,
		ReserveAfter:       400 * time.Millisecond,
		FailureBackoff:     800 * time.Millisecond,
		MaxFailureBackoff:  4 * time.Second,
		FullBackoff:        150 * time.Millisecond,
		BookingTimeout:     20 * time.Second,
		RetryJitter:        0.5,
	}
}
