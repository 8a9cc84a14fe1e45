package tlrelay

import (
	"context"
	"net/netip"
	"time"

	"trefoillanding/core/tleventid"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlmetric"
)

// Deps is what a relay needs from its surroundings.
type Deps struct {
	// Name is the instance.
	Name string
	// Incarnation is the instance's incarnation.
	Incarnation uint64
	// Homes reaches the homes of pools.
	Homes Homes
	// Engines reaches the engines.
	Engines Engines
	// Pools returns the pools that may serve a request, best first.
	Pools func(r Request) []tlwire.Pool
	// Signer makes event ids.
	Signer *tleventid.Signer
	// Now is the clock.
	Now func() time.Time
	// ResubmitAfter is how long a step may be awaited before the home is asked again.
	ResubmitAfter time.Duration
	// Metrics takes the counters.
	Metrics *tlmetric.Set
}

// Homes reaches the homes of pools, here or at other instances.
type Homes struct {
	// Name returns the instance that is a pool's home at present.
	Name func(pool tlwire.Pool) string
	// Submit asks a pool's home to place a request.
	Submit func(ctx context.Context, s tlwire.Submission) error
	// Report tells a pool's home how a request goes; it never blocks.
	Report func(r tlwire.Report)
}

// Engines reaches the engines.
type Engines struct {
	// Prefill returns once a prompt's KV cache is held at the engine.
	Prefill func(ctx context.Context, engine netip.AddrPort, r tlwire.PrefillRequest) (tlwire.PrefillResult, error)
	// Import returns once the KV cache has arrived at the engine.
	Import func(ctx context.Context, engine netip.AddrPort, r tlwire.ImportRequest) error
	// Decode starts a stream.
	Decode func(ctx context.Context, engine netip.AddrPort, r tlwire.DecodeRequest) (Stream, error)
	// Resume reads a stream on; streams are named as their attempts.
	Resume func(ctx context.Context, engine netip.AddrPort, r tlwire.ResumeRequest) (Stream, error)
	// Cancel frees an attempt, repeated until the engine confirms it; it never blocks.
	Cancel func(engine netip.AddrPort, attempt string)
	// Stalled says whether an error of Import means that nothing moved.
	Stalled func(err error) bool
}

// Stream reads one engine's stream.
type Stream struct {
	// Next waits for the next token.
	Next func() (tlwire.TokenEvent, error)
	// Buffered says whether Next has a token at hand.
	Buffered func() bool
	// Close ends the reading.
	Close func()
}
