package tleventid

import "net/netip"

// Position says where a stream runs and how far its caller has read it.
type Position struct {
	// Request is the request's id.
	Request string
	// Attempt is the attempt whose stream it is.
	Attempt string
	// Pool is the pool that the engine belongs to.
	Pool string
	// Engine is where the stream runs.
	Engine netip.AddrPort
	// First is the index of the first token that the attempt produced.
	First int
	// BodyDigest is the digest of the caller's request body.
	BodyDigest uint64
	// Index is the index of the last token delivered.
	Index int
	// Finish is set when that token was the last.
	Finish string
}
