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
	// Append appends a holder's record if the log ends at offset at, and returns the record's position.
	Append func(ctx context.Context, service string, holder []byte, at uint64) (tlkeyed.Position, error)
}

var (
	// errHeld is returned while another instance may still give orders.
	errHeld = errors.New("another instance may still hold the lease")
	// errWentBack is returned while a holder may give orders whose record the log has lost.
	errWentBack = errors.New("the log went back, and a holder's record may be lost")
)

// firstEra is the highest era of a log that has never gone back.
const firstEra = 1

// fence acquires fencing numbers for one holder; it is not safe for concurrent use.
type fence struct {
	log    HolderLog
	holder string
	lease  time.Duration
	now    func() time.Time
	// seen holds, for each service, the newest record of another holder and when it was first seen.
	seen map[string]sighting
	// era is the newest era of the log seen, and eraSince since when a holder's record
	// may have been lost with the one before; zero if none can have been.
	era      uint64
	eraSince time.Time
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
	if f.mayHaveLostHolder(b.Era) {
		return 0, errWentBack
	}
	if f.isHeld(service, b) {
		return 0, errHeld
	}
	p, err := f.log.Append(ctx, service, []byte(f.holder), b.End)
	if err != nil {
		return 0, err
	}
	if p.Era != b.Era {
		return 0, errWentBack
	}
	return p.Number(), nil
}

// observe reads who holds each service, so that the time until they expire begins to run.
func (f *fence) observe(ctx context.Context) error {
	b, err := f.log.Newest(ctx)
	if err != nil {
		return err
	}
	f.mayHaveLostHolder(b.Era)
	for _, r := range b.Records {
		f.isHeld(r.Key, b)
	}
	return nil
}

// isHeld reports whether another holder may still give the orders of a service.
func (f *fence) isHeld(service string, b tlkeyed.Batch) bool {
	for _, r := range b.Records {
		if r.Key == service && string(r.Value) != f.holder && !f.hasExpired(service, r.Offset) {
			return true
		}
	}
	return false
}

// heldFor returns the time after a failure to acquire a number until it may be tried again:
// until the other holder's lease has run out where that was the cause, else fenceRetryDelay.
func (f *fence) heldFor(service string, cause error) time.Duration {
	s, ok := f.seen[service]
	if !ok || !errors.Is(cause, errHeld) {
		return fenceRetryDelay
	}
	return s.at.Add(f.handover()).Sub(f.now())
}

// mayHaveLostHolder reports whether the log went back so recently that a holder whose
// record it lost may still give orders. An instance that starts after that has not
// seen the era before.
func (f *fence) mayHaveLostHolder(era uint64) bool {
	if era > f.era {
		if f.era > 0 || era > firstEra {
			f.eraSince = f.now()
		}
		f.era = era
	}
	return !f.eraSince.IsZero() && f.now().Sub(f.eraSince) < f.handover()
}

// handover returns the time after which a former holder gives no orders any more.
func (f *fence) handover() time.Duration {
	return f.lease + batchMaxAge + leaseMargin
}

// hasExpired reports whether another holder's record has been the newest for long enough.
func (f *fence) hasExpired(service string, offset uint64) bool {
	s, ok := f.seen[service]
	if !ok || s.offset != offset {
		f.seen[service] = sighting{offset, f.now()}
		return false
	}
	return f.now().Sub(s.at) >= f.handover()
}
