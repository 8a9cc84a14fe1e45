// Package tlorphan lists what the engines of this instance's pools hold, and
// cancels what nobody owns any more as core/tlsweep decides.
package tlorphan
