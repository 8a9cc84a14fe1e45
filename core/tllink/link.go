package tllink

import "time"

// Link predicts how long a transfer takes from the link's rate and the bytes reserved for other transfers.
type Link struct {
	bytesPerSecond float64
	learnsRate     bool
	reservedBytes  int64
}

const (
	assumedBytesPerSecond = 10e9
	rateSmoothing         = 0.2
)

// New returns a link with a rate in bytes per second; with 0 the rate is learnt from observed transfers.
func New(bytesPerSecond int64) *Link {
	if bytesPerSecond <= 0 {
		return &Link{bytesPerSecond: assumedBytesPerSecond, learnsRate: true}
	}
	return &Link{bytesPerSecond: float64(bytesPerSecond)}
}

// Reserve adds a transfer's bytes to the backlog.
func (l *Link) Reserve(bytes int64) {
	l.reservedBytes += bytes
}

// Release takes a transfer's bytes off the backlog, whether or not the transfer ran.
func (l *Link) Release(bytes int64) {
	l.reservedBytes -= bytes
}

// Observe updates the learnt rate from a finished transfer; it does nothing on a link with a given rate.
func (l *Link) Observe(bytes int64, took time.Duration) {
	if l.learnsRate && bytes > 0 && took > 0 {
		l.bytesPerSecond += rateSmoothing * (float64(bytes)/took.Seconds() - l.bytesPerSecond)
	}
}

// TransferTime returns how long a transfer would take if it were reserved now, including the backlog before it.
func (l *Link) TransferTime(bytes int64) time.Duration {
	return time.Duration(float64(l.reservedBytes+bytes) / l.bytesPerSecond * float64(time.Second))
}

// Backlog returns the bytes reserved and not yet released.
func (l *Link) Backlog() int64 {
	return l.reservedBytes
}
