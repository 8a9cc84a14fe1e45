package tlplace

import "time"

// Options configures a Book.
type Options struct {
	// Memory is the memory capacity of a decode engine, in tokens.
	Memory int
	// Slots is the maximum number of requests that a decode engine runs at once.
	Slots int
	// BlockSize is the allocation unit of memory, in tokens.
	BlockSize int
	// OutputShare is the share of a request's expected output tokens that is booked: requests
	// on one engine grow at different times, so their peaks don't add up.
	OutputShare float64
	// MemoryShare is the share of Memory that may be booked; the rest absorbs outputs longer than expected.
	MemoryShare float64
	// Stride is the number of tokens in each event of an answer.
	Stride int
	// RoleChangeTime is how long an engine is unavailable while it changes its role; 0 if
	// that is not known.
	RoleChangeTime time.Duration
	// DispatchAhead is how long before a prefill engine is free the next prompt is sent to it, to cover the transit time.
	DispatchAhead time.Duration
	// TransferMargin is the time allowed for the transfer of a prompt's memory and the
	// way of the first event to its caller, beside the time of that event's tokens.
	TransferMargin time.Duration
	// StartMargin is the margin, on top of a slow prefill, between a request's latest
	// start and the time its caller gives up.
	StartMargin time.Duration
	// MaxUnmeasuredPrefills is the maximum number of prompts at a prefill engine while its speed is unknown.
	MaxUnmeasuredPrefills int
	// MaxDirectPrefills is the maximum number of prompts that a decode engine reads at once: each
	// slows the answers beside it.
	MaxDirectPrefills int
	// ReserveAfter is the time in the queue after which an engine's free memory is reserved for the first request.
	ReserveAfter time.Duration
	// FailureBackoff is how long an engine that failed a request gets no other; it
	// doubles with each failure from the third in a row.
	FailureBackoff time.Duration
	// MaxFailureBackoff is the upper bound of the doubled FailureBackoff.
	MaxFailureBackoff time.Duration
	// FullBackoff is how long an engine that rejected a request for lack of room gets no other;
	// it is also the backoff after a first broken connection.
	FullBackoff time.Duration
	// BookingTimeout is how long after it was made a booking expires if its owner has not reported its end.
	BookingTimeout time.Duration
	// RetryJitter is the maximum random addition to a retry time, as a share of it, so that callers don't return together.
	RetryJitter float64
}

// bookable returns how many tokens of an engine's memory may be booked.
func (o Options) bookable() int {
	return int(o.MemoryShare * float64(o.Memory))
}

// DefaultOptions returns the default options for engines with the given memory in
// tokens, number of slots and tokens an event.
func DefaultOptions(memory, slots, stride int) Options {
	return Options{
		Memory:                memory,
		Slots:                 slots,
		Stride:                stride,
		BlockSize:             16,
		OutputShare:           0.8,
		MemoryShare:           0.97,
		DispatchAhead:         30 * time.Millisecond,
		TransferMargin:        50 * time.Millisecond,
		StartMargin:           250 * time.Millisecond,
		MaxUnmeasuredPrefills: 2,
		MaxDirectPrefills:     1,
		ReserveAfter:          400 * time.Millisecond,
		FailureBackoff:        800 * time.Millisecond,
		MaxFailureBackoff:     4 * time.Second,
		FullBackoff:           150 * time.Millisecond,
		BookingTimeout:        20 * time.Second,
		RetryJitter:           0.5,
	}
}
