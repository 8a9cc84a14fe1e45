package tlreconcile

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlfleet"
	"trefoillanding/core/tlwire"
)

// HomePool is a pool that this instance is the home of.
type HomePool struct {
	Pool    tlwire.Pool
	Service tlwire.Service
	// ServiceEngineCount counts the engines of all pools of the service.
	ServiceEngineCount int
}

// Lease is the right to give orders to a pool's engines.
type Lease struct {
	// FencingNumber is the fencing number.
	FencingNumber uint64
	// ValidFor says whether the lease lasts for at least d from now on.
	ValidFor func(d time.Duration) bool
	// Release gives it back.
	Release func(ctx context.Context)
}

// Engines reaches the engines.
type Engines struct {
	// Load asks an engine for its load.
	Load func(ctx context.Context, a netip.AddrPort) (tlwire.LoadReport, error)
	// Order gives an engine an order.
	Order func(ctx context.Context, a netip.AddrPort, o tlwire.Order) error
	// IsOldFencingNumber says that an engine refused an order for its fencing number.
	IsOldFencingNumber func(err error) bool
}

// Options is what a reconciler needs from its surroundings.
type Options struct {
	// HomePools returns the pools whose home this instance is at present.
	HomePools func() []HomePool
	// Engines reaches the engines.
	Engines Engines
	// WeightInfo asks the weight store about a version; an error means that it is busy or down.
	WeightInfo func(ctx context.Context, model, version string) (tlwire.WeightInfo, error)
	// TakeLease takes the lease of a group.
	TakeLease func(ctx context.Context, group string) (Lease, error)
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
	// Interval is the time between two looks at a pool.
	Interval time.Duration
	// Timeout bounds one call.
	Timeout time.Duration
	// SettleDelay is how long the holder of a new lease waits for the last orders of
	// the one before to arrive at engines that don't check numbers.
	SettleDelay time.Duration
}
