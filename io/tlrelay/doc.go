// Package tlrelay serves completions for their callers: it submits a request to
// a pool's home, carries out the home's steps at the engines, and hands each
// token on exactly once and in order.
//
// Lock order: Relay.mu before run.mu; neither is held over I/O.
package tlrelay
