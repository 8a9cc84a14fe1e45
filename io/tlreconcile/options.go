package tlreconcile

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlfleet"
	"trefoillanding/core/tlwire"
)

// Work is a pool that this instance is the home of.
type Work struct {
	Pool    tlwire.Pool
	Service tlwire.Service
	// AllEngines counts the engines of all pools of the service.
	AllEngines int
}

// Lease is the right to give orders to a pool's engines.
type Lease struct {
	// Number is the fencing number.
	Number uint64
	// Holds says whether the lease lasts for at least d from now on.
	Holds func(d time.Duration) bool
	// Release gives it back.
	Release func(ctx context.Context)
}

// Engines reaches the engines.
type Engines struct {
	// Load asks an engine for its load.
	Load func(ctx context.Context, a netip.AddrPort) (tlwire.LoadReport, error)
	// Order gives an engine an order.
	Order func(ctx context.Context, a netip.AddrPort, o tlwire.Order) error
	// IsOldNumber says that an engine refused an order for its fencing number.
	IsOldNumber func(err error) bool
}

// Options is what a reconciler needs from its surroundings.
type Options struct {
	// Work returns the pools whose home this instance is at present.
	Work func() []Work
	// Engines reaches the engines.
	Engines Engines
	// WeightInfo asks the weight store about a version; an error means that it is busy or down.
	WeightInfo func(ctx context.Context, model, version string) (tlwire.WeightInfo, error)
	// Take takes the lease of a group.
	Take func(ctx context.Context, group string) (Lease, error)
	// Limits bounds how much changes at once.
	Limits tlfleet.Limits
	// Times sets how long things take.
	Times Times
	// Now is the clock.
	Now func() time.Time
	// Logger takes changes of state.
	Logger *logrus.Entry
	// Add raises the counter of a reason in CounterNames by n.
	Add func(reason string, n int64)
}

// Times sets how long things take.
type Times struct {
	// Every is the time between two looks at a pool.
	Every time.Duration
	// Timeout bounds one call.
	Timeout time.Duration
	// Settle is how long the holder of a new lease waits for the last orders of
	// the one before to arrive at engines that don't check numbers.
	Settle time.Duration
}
