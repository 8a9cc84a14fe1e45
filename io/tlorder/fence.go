package tlorder

import (
	"context"
	"errors"
	"time"

	"trefoillanding/core/tlkeyed"
)

// HolderLog is a log of holders, one key for each service.
type HolderLog struct {
	// Newest returns the last holder of each service.
	Newest func(ctx context.Context) (tlkeyed.Batch, error)
	// Append writes a holder down if the log ends at an offset, and returns the record's.
	Append func(ctx context.Context, service string, holder []byte, at uint64) (uint64, error)
}

// errHeld says that another instance may still give orders.
var errHeld = errors.New("another instance was the last holder")

// fence takes fencing numbers for one holder; it is used by one goroutine.
type fence struct {
	log    HolderLog
	holder string
	lease  time.Duration
	now    func() time.Time
	// seen holds, for each service, the last record of another holder and when it was first seen as the last.
	seen map[string]sighting
}

type sighting struct {
	offset uint64
	at     time.Time
}

// take returns a fencing number for a service.
func (f *fence) take(ctx context.Context, service string) (uint64, error) {
	b, err := f.log.Newest(ctx)
	if err != nil {
		return 0, err
	}
	for _, r := range b.Records {
		if r.Key == service && string(r.Value) != f.holder && !f.hasLapsed(service, r.Offset) {
			return 0, errHeld
		}
	}
	offset, err := f.log.Append(ctx, service, []byte(f.holder), b.End)
	if err != nil {
		return 0, err
	}
	return offset + 1, nil
}

// hasLapsed says whether another holder's record has been the last for long enough.
func (f *fence) hasLapsed(service string, offset uint64) bool {
	s, ok := f.seen[service]
	if !ok || s.offset != offset {
		f.seen[service] = sighting{offset, f.now()}
		return false
	}
	return f.now().Sub(s.at) >= f.lease+sendWithin+leaseMargin
}
