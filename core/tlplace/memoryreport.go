package tlplace

import "time"

// maxReportAge is the maximum age of an engine's memory report.
const maxReportAge = 1500 * time.Millisecond

// steadyReportInterval is the time between reports of an engine whose memory is known to
// be that of its bookings: each report costs the engine a connection.
const steadyReportInterval = 3 * time.Second

// MemoryReported takes in the memory that an engine reports as in use, in tokens. What
// exceeds all bookings that this book has there, or had within the maximum age of a
// report, belongs to requests that it does not know: those of a previous home, or of
// instances that lost power and whose connections the engine still has.
func (b *Book) MemoryReported(now time.Time, id string, held int) {
	e := b.engines[id]
	if e == nil {
		return
	}
	known := e.booked
	keep := e.released[:0]
	for _, l := range e.released {
		if now.Sub(l.at) > maxReportAge {
			continue
		}
		known += l.tokens
		keep = append(keep, l)
	}
	e.released = keep
	e.untrackedReported = max(held-known, 0)
	e.untracked = e.untrackedReported
	e.reportedAt = now
}

// NeedsReport reports whether an engine is to be asked for its memory: if it holds memory
// of unknown requests, has lately had no room for a booked one, or was not asked for a while.
func (b *Book) NeedsReport(now time.Time, id string) bool {
	e := b.engines[id]
	if e == nil {
		return false
	}
	isSteady := e.untrackedReported == 0 && e.fullAt.Before(e.reportedAt)
	return !isSteady || now.Sub(e.reportedAt) >= steadyReportInterval
}

// decayUntracked lowers the untracked memory linearly to 0 within an average booking's
// time, or within BookingTimeout while that is unknown.
func (b *Book) decayUntracked(now time.Time) {
	within, known := b.rates.Booking.Duration()
	if !known {
		within = b.o.BookingTimeout
	}
	for _, e := range b.order {
		if e.untracked == 0 {
			continue
		}
		left := 1 - float64(now.Sub(e.reportedAt))/float64(within)
		e.untracked = max(int(float64(e.untrackedReported)*left), 0)
	}
}
