package tlholder

import (
	"context"
	"time"

	"trefoillanding/core/tllease"
	"trefoillanding/core/tlrecord"
	"trefoillanding/core/tlwire"
)

// margin is left at a lease's end for orders that are on their way.
const margin = 2 * time.Second

// Lease is a lease that this instance took.
type Lease struct {
	// Number is the fencing number.
	Number uint64

	holder *Holder
	group  string
	until  time.Time
}

// Holds says whether the lease lasts for at least d from now on.
func (l Lease) Holds(d time.Duration) bool {
	return l.holder.o.Now().Add(d).Before(l.until)
}

// Release gives the lease back; if that fails it lapses by itself.
func (l Lease) Release(ctx context.Context) {
	b, err := tlrecord.Encode(tlwire.LeaseReleased{Group: l.group, Fence: l.Number})
	if err != nil {
		return
	}
	_, _ = l.holder.o.Log.Append(ctx, b)
}

func (h *Holder) lease(t tllease.Lease, asked time.Time) Lease {
	return Lease{
		Number: t.Fence,
		holder: h,
		group:  t.Group,
		until:  tllease.ActUntil(asked, h.o.Duration, margin),
	}
}
