package tlreconcile

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlfleet"
	"trefoillanding/core/tlwire"
)

// HomePool is a pool whose home is this instance.
type HomePool struct {
	Pool    tlwire.Pool
	Service tlwire.Service
	// ServiceEngineCount is the number of engines in all pools of the service.
	ServiceEngineCount int
}

// Lease is the right to send orders to a pool's engines.
type Lease struct {
	// FencingNumber is sent with every order under the lease.
	FencingNumber uint64
	// ValidFor says whether orders may be sent under the lease for longer than d from now.
	ValidFor func(d time.Duration) bool
	// Release releases the lease.
	Release func(ctx context.Context)
}

// Engines holds the calls to engines.
type Engines struct {
	// Load asks an engine for its load report.
	Load func(ctx context.Context, a netip.AddrPort) (tlwire.LoadReport, error)
	// Order sends an order to an engine.
	Order func(ctx context.Context, a netip.AddrPort, o tlwire.Order) error
	// IsOldFencingNumber says whether an engine refused an order because its
	// fencing number was old.
	IsOldFencingNumber func(err error) bool
}

// Options holds the settings and dependencies of a reconciler.
type Options struct {
	// HomePools returns the pools whose home is this instance at present.
	HomePools func() []HomePool
	// Engines holds the calls to engines.
	Engines Engines
	// WeightInfo asks the weight store about a version; an error means that the store is
	// busy or down.
	WeightInfo func(ctx context.Context, model, version string) (tlwire.WeightInfo, error)
	// TakeLease takes the lease of a group.
	TakeLease func(ctx context.Context, group string) (Lease, error)
	// Limits bounds how much of a pool changes at once.
	Limits tlfleet.Limits
	// Times sets the interval, the call timeout and the settle delay.
	Times Times
	// Now returns the current time.
	Now func() time.Time
	// Logger logs that a lease was taken.
	Logger *logrus.Entry
	// Add raises the counter of a reason in CounterNames by n.
	Add func(reason string, n int64)
}

// Times sets the interval, the call timeout and the settle delay of a reconciler.
type Times struct {
	// Interval is the time between two rounds.
	Interval time.Duration
	// Timeout bounds each call to an engine or the weight store, and the release of
	// the leases when Run ends.
	Timeout time.Duration
	// SettleDelay is how long the holder of a new lease waits for the last orders
	// of the previous holder to arrive at engines that don't check fencing numbers.
	SettleDelay time.Duration
}
