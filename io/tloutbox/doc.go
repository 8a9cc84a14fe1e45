// Package tloutbox queues one-way messages to other instances, so that a sender
// that holds a lock never waits for a connection.
//
// Lock order: Outbox.mu is never held during I/O.
package tloutbox
