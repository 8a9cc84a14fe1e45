package tlorder

import (
	"context"
	"errors"
	"time"

	"trefoillanding/core/tlkeyed"
)

// HolderLog is the log of holders, with one key for each service.
type HolderLog struct {
	// Newest returns the newest record of each service.
	Newest func(ctx context.Context) (tlkeyed.Batch, error)
	// Append appends a holder's record if the log ends at offset at, and returns the record's offset.
	Append func(ctx context.Context, service string, holder []byte, at uint64) (uint64, error)
}

// errHeld is returned while another instance may still give orders.
var errHeld = errors.New("another instance may still hold the lease")

// fence acquires fencing numbers for one holder; it is not safe for concurrent use.
type fence struct {
	log    HolderLog
	holder string
	lease  time.Duration
	now    func() time.Time
	// seen holds, for each service, the newest record of another holder and when it was first seen.
	seen map[string]sighting
}

type sighting struct {
	offset uint64
	at     time.Time
}

// acquire appends this holder's record and returns a fencing number for a service, or errHeld.
func (f *fence) acquire(ctx context.Context, service string) (uint64, error) {
	b, err := f.log.Newest(ctx)
	if err != nil {
		return 0, err
	}
	for _, r := range b.Records {
		if r.Key == service && string(r.Value) != f.holder && !f.hasExpired(service, r.Offset) {
			return 0, errHeld
		}
	}
	offset, err := f.log.Append(ctx, service, []byte(f.holder), b.End)
	if err != nil {
		return 0, err
	}
	return offset + 1, nil
}

// hasExpired reports whether another holder's record has been the newest for long enough.
func (f *fence) hasExpired(service string, offset uint64) bool {
	s, ok := f.seen[service]
	if !ok || s.offset != offset {
		f.seen[service] = sighting{offset, f.now()}
		return false
	}
	return f.now().Sub(s.at) >= f.lease+batchMaxAge+leaseMargin
}
