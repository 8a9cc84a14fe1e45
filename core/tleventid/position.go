package tleventid

import "net/netip"

// Position is the engine and attempt of a stream and how far its caller has read it.
type Position struct {
	// Request is the request's id.
	Request string
	// Attempt is the id of the attempt that the stream belongs to.
	Attempt string
	// Pool is the name of the pool that the engine belongs to.
	Pool string
	// Engine is the address of the engine that runs the stream.
	Engine netip.AddrPort
	// FirstIndex is the index of the first token that the attempt produced.
	FirstIndex int
	// BodyDigest is the digest of the caller's request body.
	BodyDigest uint64
	// Index is the index of the last token delivered.
	Index int
	// Finish is the finish reason if that token was the last, else empty.
	Finish string
}
