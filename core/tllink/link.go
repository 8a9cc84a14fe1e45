package tllink

import "time"

// Link predicts when a transfer would end, from the bytes already promised to it.
type Link struct {
	rate    float64
	learns  bool
	backlog int64
}

const (
	assumedRate = 10e9
	gain        = 0.2
)

// New returns a link of the rate in bytes per second; 0 means that it is learnt.
func New(bytesPerSecond int64) *Link {
	if bytesPerSecond <= 0 {
		return &Link{rate: assumedRate, learns: true}
	}
	return &Link{rate: float64(bytesPerSecond)}
}

// Hold promises the link to a transfer.
func (l *Link) Hold(bytes int64) {
	l.backlog += bytes
}

// Release takes a promise back, whether or not the transfer ran.
func (l *Link) Release(bytes int64) {
	l.backlog -= bytes
}

// Observe learns the rate from a transfer that ended.
func (l *Link) Observe(bytes int64, took time.Duration) {
	if l.learns && bytes > 0 && took > 0 {
		l.rate += gain * (float64(bytes)/took.Seconds() - l.rate)
	}
}

// TransferTime returns how long a transfer would take if it were promised now.
func (l *Link) TransferTime(bytes int64) time.Duration {
	return time.Duration(float64(l.backlog+bytes) / l.rate * float64(time.Second))
}

// Backlog returns the bytes promised and not yet moved.
func (l *Link) Backlog() int64 {
	return l.backlog
}
