package tlorphan

import (
	"context"
	"net/netip"
	"time"

	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlsweep"
	"trefoillanding/core/tlwire"
)

// Deps is what a sweeper needs from its surroundings.
type Deps struct {
	// Engines returns the engines of the pools whose home this instance is.
	Engines func() []tlwire.Engine
	// List asks an engine for everything that it holds.
	List func(x context.Context, a netip.AddrPort) (tlwire.StreamList, error)
	// Sweep cancels an attempt while its owner is the same; it never blocks.
	Sweep func(a netip.AddrPort, attempt, owner string, incarnation uint64)
	// Fate says what is known of an owner's life; it never blocks.
	Fate func(o tlsweep.Owner) tlmember.Liveness
	// AskOwner asks an owner which attempts it still serves.
	AskOwner func(x context.Context, o tlsweep.Owner, attempts []string) ([]bool, error)
	// Now is the clock.
	Now func() time.Time
	// Count raises a counter.
	Count func(name string, n int64)
}

// Times sets how often engines are listed.
type Times struct {
	// Every is the time between two lists of an engine at which all is well; it
	// only makes up for reports and nudges that were lost.
	Every time.Duration
	// Unread is the time between two lists of an engine that reports attempts
	// which nobody reads.
	Unread time.Duration
	// Least is the shortest time between two lists of an engine, however urgent.
	Least time.Duration
	// Timeout bounds a list, and a question to an owner.
	Timeout time.Duration
}

// NewTimes returns the usual times.
func NewTimes() Times {
	return Times{
		Every:   time.Minute,
		Unread:  time.Second,
		Least:   50 * time.Millisecond,
		Timeout: 500 * time.Millisecond,
	}
}
