package tlplace

import "time"

// Booking is a place that a request has.
type Booking struct {
	Request string
	Owner   Owner
	// Prefill is the engine that is reading the prompt; empty once it is read, or where the decode engine does.
	Prefill string
	// Decode is the engine that generates.
	Decode string
	// Tokens is the memory that it has there.
	Tokens int
	// IsDirect says that the decode engine reads the prompt.
	IsDirect bool

	// dataCentre is the owner's; empty where the place was booked at another home.
	dataCentre string
	// hasStalled says that its answer paused on its way.
	hasStalled bool

	prompt int
	output int
	sent   time.Time
	// readBy is when its prompt was expected to be read.
	readBy time.Time
	until  time.Time
}

// hasWay says whether the way of the answer to its owner is known.
func (k *Booking) hasWay() bool {
	return k.dataCentre != ""
}
