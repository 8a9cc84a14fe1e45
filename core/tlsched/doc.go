// Package tlsched decides, for the home instance of one pool, which request
// runs where and when: it orders the queue, reserves decode memory and the
// link before a prefill starts, and refuses what can't be served in time.
package tlsched
