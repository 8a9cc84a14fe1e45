// Package tlorphan lists the attempts in the engines of the pools whose home this
// instance is, and cancels those without an owner, as core/tlsweep decides.
package tlorphan
