package tlholder

import (
	"context"
	"fmt"
	"time"

	"trefoillanding/core/tllease"
	"trefoillanding/core/tlrecord"
	"trefoillanding/core/tlwire"
)

// Lease is a lease that this instance holds.
type Lease struct {
	// Group is the name of what the lease is for.
	Group string
	// Fence is the fencing number.
	Fence uint64
	// Until is when this instance must stop acting under the lease, by its own clock.
	Until time.Time

	holder *Holder
}

// ValidFor says whether this instance may act under the lease for longer than d
// from now.
func (l Lease) ValidFor(d time.Duration) bool {
	return l.holder.o.Now().Add(d).Before(l.Until)
}

// Release releases the lease; if the release is lost, the lease lapses by itself.
func (l Lease) Release(ctx context.Context) {
	data, err := tlrecord.Encode(tlwire.LeaseReleased{Group: l.Group, Fence: l.Fence})
	if err != nil {
		return
	}
	if _, err := l.holder.o.Append(ctx, Stream, [][]byte{data}); err != nil {
		l.holder.o.Add(countAppendFailed, 1)
		return
	}
	l.holder.o.Add(countReleased, 1)
}

// HeldError means that another instance holds a lease, or was granted it first.
type HeldError struct {
	Lease tllease.Lease
}

// Error returns the group, the holder and the end of the lease.
func (e *HeldError) Error() string {
	return fmt.Sprintf("the lease of %s is held by %s until %s", e.Lease.Group, e.Lease.Instance, e.Lease.Until.Format(time.RFC3339Nano))
}
