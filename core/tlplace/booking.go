package tlplace

import "time"

// Booking is a request's reservation of memory and a slot at a decode engine.
type Booking struct {
	Request string
	Owner   Owner
	// Prefill is the engine that is reading the prompt; empty once it is read, or where the decode engine reads it.
	Prefill string
	// Decode is the engine that generates the answer.
	Decode string
	// Tokens is the memory booked at the decode engine.
	Tokens int
	// IsDirect is set while the decode engine itself reads the prompt.
	IsDirect bool

	// dataCentre is the owner's; empty where another home made the booking.
	dataCentre string
	// hasStalled is set once a stall of its answer was counted.
	hasStalled bool

	prompt int
	output int
	// beside is the number of requests at the decode engine when it was made, itself included;
	// 0 where that is not known.
	beside int
	// isFollowed is set where another home made it, which alone knows what else runs there.
	isFollowed bool
	// isMeasured is set where placedAt is when the request was placed: a booking that
	// a new home learns of was placed at an unknown time.
	isMeasured bool
	placedAt   time.Time
	// prefillExpectedAt is when its prompt is expected to be read.
	prefillExpectedAt time.Time
	expiresAt         time.Time
}

// hasDataCentre reports whether the owner's data centre, and so the answer's route, is known.
func (k *Booking) hasDataCentre() bool {
	return k.dataCentre != ""
}
