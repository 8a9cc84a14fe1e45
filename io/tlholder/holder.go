package tlholder

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"trefoillanding/core/tllease"
	"trefoillanding/core/tlrecord"
	"trefoillanding/core/tlwire"
)

// readRecords is the most records of one reading.
const readRecords = 1000

var (
	// ErrHeld means that another holder has the lease.
	ErrHeld = errors.New("another holder has the lease")
	// ErrUncertain means that the log does not tell yet who has the lease.
	ErrUncertain = errors.New("the log does not tell yet who has the lease")
)

// Options is what a holder needs from its surroundings.
type Options struct {
	// Log is the stream of leases.
	Log Log
	// Instance and Incarnation are written into each record.
	Instance    string
	Incarnation uint64
	// Duration is how long a lease lasts.
	Duration time.Duration
	// Nonce returns a number that is never used twice.
	Nonce func() uint64
	// Now is the clock.
	Now func() time.Time
}

// Holder takes leases for one instance.
type Holder struct {
	o Options

	// mu guards the table and is held over the log's answers, since one lease
	// is taken at a time.
	mu    sync.Mutex
	table *tllease.Table
}

// New returns a holder that has read nothing yet.
func New(o Options) *Holder {
	return &Holder{o: o, table: tllease.NewTable(1)}
}

// Take takes the lease of a group; the error is ErrHeld, ErrUncertain or the log's.
func (h *Holder) Take(ctx context.Context, group string) (Lease, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.readOn(ctx); err != nil {
		return Lease{}, err
	}
	if l := h.table.Lease(group); l.IsLive(h.o.Now()) && !h.isMine(l) {
		return Lease{}, fmt.Errorf("%w: %s", ErrHeld, l.Instance)
	}
	before, asked := h.table.Next(), h.o.Now()
	if err := h.append(ctx, group); err != nil {
		return Lease{}, err
	}
	if err := h.readOn(ctx); err != nil {
		return Lease{}, err
	}
	l := h.table.Lease(group)
	if !h.isMine(l) || l.Fence < before {
		return Lease{}, h.refusal(l)
	}
	return h.lease(l, asked), nil
}

func (h *Holder) refusal(l tllease.Lease) error {
	if !h.table.IsCertain() {
		return ErrUncertain
	}
	return fmt.Errorf("%w: %s", ErrHeld, l.Instance)
}

func (h *Holder) isMine(l tllease.Lease) bool {
	return l.Instance == h.o.Instance && l.Incarnation == h.o.Incarnation
}

// append asks for the lease; an answer that was lost is found by reading on.
func (h *Holder) append(ctx context.Context, group string) error {
	b, err := tlrecord.Encode(tlwire.LeaseTaken{
		Group:       group,
		Instance:    h.o.Instance,
		Incarnation: h.o.Incarnation,
		Nonce:       h.o.Nonce(),
		Duration:    h.o.Duration,
	})
	if err != nil {
		return err
	}
	_, err = h.o.Log.Append(ctx, b)
	if err != nil && h.o.Log.NotAppended(err) {
		return err
	}
	return nil
}

// readOn folds everything that the log has.
func (h *Holder) readOn(ctx context.Context) error {
	for {
		r, err := h.o.Log.Read(ctx, h.table.Next(), readRecords, 0)
		if oldest, ok := h.o.Log.Oldest(err); ok {
			h.table = tllease.NewTable(oldest)
			continue
		}
		if err != nil {
			return err
		}
		for _, v := range r.Records {
			h.table.Apply(v)
		}
		if len(r.Records) == 0 || h.table.Next() >= r.Next {
			return nil
		}
	}
}
