package tlhome

import (
	"context"
	"net/netip"
	"time"

	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlmetric"
)

// Deps is what homes need from their surroundings.
type Deps struct {
	// Deliver hands a step to the owner of its request; it never blocks.
	Deliver func(owner string, s tlwire.Step)
	// Load asks an engine for its load.
	Load func(ctx context.Context, engine netip.AddrPort) (tlwire.LoadReport, error)
	// CacheEvents asks an engine for changes of its prefix cache.
	CacheEvents func(ctx context.Context, engine netip.AddrPort, after uint64) (tlwire.CacheEvents, error)
	// Owns asks an owner which of the requests it still serves.
	Owns func(ctx context.Context, owner Owner, requests []string) ([]bool, error)
	// Leaving says whether the instance list has an endpoint as leaving or no more.
	Leaving func(engine string) bool
	// Now is the clock.
	Now func() time.Time
	// Seed starts the random choices.
	Seed uint64
	// Times sets how often things are looked at.
	Times Times
	// Metrics takes the counters.
	Metrics *tlmetric.Set
}

// Times sets how often things are looked at.
type Times struct {
	// LoadInterval is the time between two questions for an engine's load.
	LoadInterval time.Duration
	// Timeout bounds one question.
	Timeout time.Duration
	// GoneAfter is the silence after which an engine counts as gone.
	GoneAfter time.Duration
	// AuditInterval is the time between two questions to owners.
	AuditInterval time.Duration
}
