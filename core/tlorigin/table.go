package tlorigin

import "time"

// Origin says which version of a service's software began a stream.
type Origin struct {
	// Attempt is the ID of the caller's attempt that brought the stream's first event.
	Attempt string
	// Service is the name of the service.
	Service string
	// Version is the version; empty if it is not certain.
	Version string
	// Until is until when the stream may be taken up.
	Until time.Time
}

// IsCertain reports whether a stream may go on at the version.
func (o Origin) IsCertain() bool {
	return o.Version != ""
}

const (
	// MaxKept is the longest time for which an origin is kept: that of the longest request.
	MaxKept = 10 * time.Minute
	// DefaultCapacity bounds the origins that an instance knows of.
	DefaultCapacity = 100_000
	// sweepInterval is the time between removals of what has expired.
	sweepInterval = time.Second
)

// Table holds origins until their streams can't be taken up any more. It is not safe
// for concurrent use.
type Table struct {
	byAttempt map[string]Origin
	capacity  int
	swept     time.Time
}

// New returns an empty table for a number of origins.
func New(capacity int) *Table {
	return &Table{byAttempt: map[string]Origin{}, capacity: capacity}
}

// Add adds an origin; it reports whether that is news. Where two differ, neither is
// certain. A full table takes in no more, so that what it does not know is not known.
func (t *Table) Add(now time.Time, o Origin) bool {
	t.sweep(now)
	k, ok := t.byAttempt[o.Attempt]
	if !ok && (len(t.byAttempt) >= t.capacity || !now.Before(o.Until)) {
		return false
	}
	if ok && k.Service == o.Service && k.Version == o.Version {
		return false
	}
	if ok {
		o.Version = ""
		if k.Until.After(o.Until) {
			o.Until = k.Until
		}
	}
	t.byAttempt[o.Attempt] = o
	return !ok || k.IsCertain()
}

// Find returns the origin of the stream that an attempt began; false if it is not known.
func (t *Table) Find(now time.Time, attempt string) (Origin, bool) {
	o, ok := t.byAttempt[attempt]
	return o, ok && now.Before(o.Until)
}

// All returns the origins of the streams that may still be taken up.
func (t *Table) All(now time.Time) []Origin {
	list := make([]Origin, 0, len(t.byAttempt))
	for _, o := range t.byAttempt {
		if now.Before(o.Until) {
			list = append(list, o)
		}
	}
	return list
}

// sweep removes what has expired, at most once a sweepInterval.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepInterval {
		return
	}
	t.swept = now
	for id, o := range t.byAttempt {
		if !now.Before(o.Until) {
			delete(t.byAttempt, id)
		}
	}
}
