// Package tlpeer connects the entry instances to each other: WebSocket frames
// with CBOR envelopes, calls with typed handlers, and gossip between a bounded
// set of neighbours.
//
// Connections are made on demand and closed when idle, so that what an
// instance pays does not grow with the number of instances. One-way messages of
// a connection are handled in their order; calls are handled concurrently.
//
// The listener is net/http's own and not go-zero's rest server, because a
// server of rest takes no listener, can't be closed on its own and counts
// upgraded connections as requests under its limits.
//
// Lock order: Mesh.mu before link.mu before connection.mu; none is held over I/O.
package tlpeer
