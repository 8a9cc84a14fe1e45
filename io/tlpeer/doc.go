// Package tlpeer connects the entry instances to each other over WebSocket, with
// CBOR envelopes as frames. It offers calls and one-way messages with typed
// handlers, and gossip with a bounded set of neighbours.
//
// Connections are opened on demand and closed when idle, so that the cost for an
// instance does not grow with the number of instances. One-way messages of
// a connection are handled in order; calls are handled concurrently.
//
// The listener is a plain net/http server and not go-zero's rest server, because
// that one accepts no listener, can't be closed on its own and counts
// upgraded connections as requests under its limits.
//
// Lock order: Mesh.mu before link.mu before connection.mu; none is held during I/O.
package tlpeer
