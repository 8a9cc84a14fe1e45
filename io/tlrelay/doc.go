// Package tlrelay serves completions to their callers: it submits a request to
// a pool's home, carries out the home's steps at the engines, and forwards each
// token exactly once and in order.
//
// Lock order: Relay.mu before run.mu; neither is held over I/O.
package tlrelay
