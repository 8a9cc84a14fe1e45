package tlorphan

import (
	"context"
	"net/netip"
	"time"

	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlsweep"
	"trefoillanding/core/tlwire"
)

// Deps holds the dependencies of a sweeper.
type Deps struct {
	// Engines returns the engines of the pools whose home this instance is.
	Engines func() []tlwire.Engine
	// List asks an engine for all its attempts.
	List func(x context.Context, a netip.AddrPort) (tlwire.StreamList, error)
	// Sweep cancels an attempt if it still has this owner; it never blocks.
	Sweep func(a netip.AddrPort, attempt, owner string, incarnation uint64)
	// Liveness returns the liveness of an owner; it never blocks.
	Liveness func(o tlsweep.Owner) tlmember.Liveness
	// AskOwner asks an owner which of the attempts it still serves.
	AskOwner func(x context.Context, o tlsweep.Owner, attempts []string) ([]bool, error)
	// Now returns the current time.
	Now func() time.Time
	// Count raises a counter by n.
	Count func(name string, n int64)
}

// Times sets how often engines are listed, and the timeout of a call.
type Times struct {
	// ListInterval is the time between two lists of an engine in which no attempt is
	// due earlier; it only makes up for lost load reports and triggers.
	ListInterval time.Duration
	// UnreadInterval is the time between two lists of an engine that reports
	// attempts without a reader.
	UnreadInterval time.Duration
	// MinInterval is the shortest time between two lists of an engine, even if its
	// attempts are due earlier; a trigger lists it at once.
	MinInterval time.Duration
	// Timeout bounds a list request, and a question to an owner.
	Timeout time.Duration
}

// NewTimes returns the default times.
func NewTimes() Times {
	return Times{
		ListInterval:   time.Minute,
		UnreadInterval: time.Second,
		MinInterval:    50 * time.Millisecond,
		Timeout:        500 * time.Millisecond,
	}
}
