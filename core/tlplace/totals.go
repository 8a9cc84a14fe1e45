package tlplace

import (
	"time"

	"trefoillanding/core/tlendpoint"
)

// Totals sums up the load of a book's engines and its queue.
type Totals struct {
	// Readers and Decoders count the usable prefill and decode engines.
	Readers, Decoders int
	// Reading counts the unread prompts at prefill engines, Running the bookings at decode engines.
	Reading, Running int
	// Booked and Memory are the booked and the total tokens of all usable decode engines.
	Booked, Memory int
	// Foreign is the memory there, in tokens, that is in use by requests without a booking in this book.
	Foreign int
	// Waiting counts the queued requests.
	Waiting int
	// Risky counts the usable decode engines that recently lost too many answers.
	Risky int
	// IsStalling is set while answers stall between data centres.
	IsStalling bool
}

// Totals returns the current load of the book.
func (b *Book) Totals(now time.Time) Totals {
	s := Totals{Waiting: len(b.waiting), IsStalling: b.stalls.isStalling(now)}
	for _, e := range b.order {
		if !e.isUsable(now) {
			continue
		}
		switch e.Role {
		case tlendpoint.Prefill:
			s.Readers++
			s.Reading += e.prefills
		case tlendpoint.Decode:
			s.Decoders++
			if e.isRisky() {
				s.Risky++
			}
			s.Running += e.running
			s.Booked += e.booked
			s.Foreign += e.untracked
			s.Memory += b.o.Memory
		}
	}
	return s
}
