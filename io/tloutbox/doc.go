// Package tloutbox queues one-way messages to other instances, so that whoever
// sends one under a lock never waits for a connection.
//
// Lock order: Outbox.mu is never held over I/O.
package tloutbox
