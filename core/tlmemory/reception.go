package tlmemory

import "time"

// grace is the time for the first bytes of a body: an instance or a caller may be stopped
// for a second or two.
const grace = 3 * time.Second

// Reception says until when a body must have got further.
type Reception struct {
	// Began is when the body was first awaited.
	Began time.Time
	// Timeout bounds the time for the whole body.
	Timeout time.Duration
	// Rate is the rate in bytes per second that a body must keep after grace.
	Rate int64
}

// Deadline returns when a body must have more than n bytes.
func (r Reception) Deadline(n int64) time.Time {
	d := r.Timeout
	if r.Rate > 0 {
		d = min(d, grace+time.Duration(float64(n)/float64(r.Rate)*float64(time.Second)))
	}
	return r.Began.Add(d)
}

// firstBytes is the first size of a body's buffer.
const firstBytes = 4 << 10

// NextSize returns the size of a body's buffer after one of size bytes is full. length is
// the length announced, or -1. The whole length is taken once a quarter of it has come,
// so that an announcement alone costs nothing.
func NextSize(size, length int64) int64 {
	next := max(2*size, firstBytes)
	switch {
	case length >= 0 && length <= max(4*size, firstBytes):
		return length
	case length >= 0:
		return min(next, length)
	}
	return next
}

// Charge returns what a body of an announced length is counted with: while its buffer
// grows to the whole length, up to half of it is held besides.
func Charge(length int64) int64 {
	return length + length/2
}
