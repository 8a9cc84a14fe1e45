// Package tlevent splits a stream of server-sent events into complete events, so
// that neither a truncated event is passed on, nor what is no event of the stream.
package tlevent
