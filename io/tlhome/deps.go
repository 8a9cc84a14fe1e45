package tlhome

import (
	"context"
	"net/netip"
	"time"

	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlmetric"
)

// Deps holds the dependencies of Homes.
type Deps struct {
	// Deliver sends a step to the instance that owns its request; it never blocks.
	Deliver func(owner string, s tlwire.Step)
	// Load fetches an engine's load.
	Load func(ctx context.Context, engine netip.AddrPort) (tlwire.LoadReport, error)
	// CacheEvents fetches the changes of an engine's prefix cache from position after on.
	CacheEvents func(ctx context.Context, engine netip.AddrPort, after uint64) (tlwire.CacheEvents, error)
	// Owns asks an owner for each request whether it still serves it.
	Owns func(ctx context.Context, owner Owner, requests []string) ([]bool, error)
	// Leaving reports whether the instance list marks an engine as leaving or no longer contains it.
	Leaving func(engine string) bool
	// Now returns the current time.
	Now func() time.Time
	// Seed seeds the random choices of the schedulers.
	Seed uint64
	// Times sets the intervals and timeouts.
	Times Times
	// Metrics is the set in which the counters are registered.
	Metrics *tlmetric.Set
}

// Times sets the intervals and timeouts for watching engines and auditing owners.
type Times struct {
	// LoadInterval is the time between two load requests to an engine.
	LoadInterval time.Duration
	// Timeout bounds one poll of an engine: its load and its cache events together.
	Timeout time.Duration
	// GoneAfter is the time without a load report after which an engine counts as gone.
	GoneAfter time.Duration
	// AuditInterval is the time between two audits of the owners.
	AuditInterval time.Duration
}
