// Package tlevent splits a stream of server-sent events into complete events, so
// that a truncated event is never passed on.
package tlevent
