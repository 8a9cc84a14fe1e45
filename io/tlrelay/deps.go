package tlrelay

import (
	"context"
	"net/netip"
	"time"

	"trefoillanding/core/tleventid"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlmetric"
)

// Deps holds the dependencies of a Relay.
type Deps struct {
	// Name is the name of this instance.
	Name string
	// Incarnation tells this instance's process from those before a restart.
	Incarnation uint64
	// Homes calls the homes of pools.
	Homes Homes
	// Engines calls the engines.
	Engines Engines
	// Pools returns the pools that may serve a request, best first.
	Pools func(r Request) []tlwire.Pool
	// Signer signs event ids.
	Signer *tleventid.Signer
	// Now returns the current time.
	Now func() time.Time
	// ResubmitAfter is how long to wait for a step before the request is submitted again.
	ResubmitAfter time.Duration
	// Metrics is the set in which the counters are registered.
	Metrics *tlmetric.Set
}

// Homes calls the homes of pools, on this or other instances. A pool's home is
// the instance that schedules its requests.
type Homes struct {
	// Name returns the name of the instance that is a pool's home at present.
	Name func(pool tlwire.Pool) string
	// Submit asks a pool's home to schedule a request.
	Submit func(ctx context.Context, s tlwire.Submission) error
	// Report reports the progress or the end of a request to its pool's home; it never blocks.
	Report func(r tlwire.Report)
}

// Engines calls the engines.
type Engines struct {
	// Prefill computes a prompt's KV cache and returns once the engine holds it.
	Prefill func(ctx context.Context, engine netip.AddrPort, r tlwire.PrefillRequest) (tlwire.PrefillResult, error)
	// Import transfers a KV cache to the engine and returns once it has arrived.
	Import func(ctx context.Context, engine netip.AddrPort, r tlwire.ImportRequest) error
	// Decode starts decoding and returns the stream of tokens.
	Decode func(ctx context.Context, engine netip.AddrPort, r tlwire.DecodeRequest) (Stream, error)
	// Resume continues reading a stream; a stream has the name of its attempt.
	Resume func(ctx context.Context, engine netip.AddrPort, r tlwire.ResumeRequest) (Stream, error)
	// Cancel frees an attempt at the engine, with retries until the engine
	// confirms it; it never blocks.
	Cancel func(engine netip.AddrPort, attempt string)
	// Stalled reports whether an error of Import means that the transfer made no progress.
	Stalled func(err error) bool
}

// Stream reads the tokens of one stream of an engine.
type Stream struct {
	// Next waits for the next token.
	Next func() (tlwire.TokenEvent, error)
	// Buffered reports whether Next would return a token without waiting.
	Buffered func() bool
	// Close stops reading.
	Close func()
}
