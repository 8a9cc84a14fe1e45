// Package tlsweep decides, for the home of a pool, which attempts in its engines
// nobody owns any more, when to ask an owner, and when to stop waiting for one.
package tlsweep
