// Package tlsweep decides, for the home instance of a pool, which attempts in the
// pool's engines no longer have an owner and are to be cancelled, when to ask an
// owner whether it still serves an attempt, and when to stop waiting for an owner.
package tlsweep
