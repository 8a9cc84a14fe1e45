// Package tlquota holds organisations to what they may send to all instances together.
//
// The load that it answers is an organisation that sends many times its usual, at many
// instances at once, while these are killed, stand still and restart. Each organisation has
// a home, whose Ledger has a token bucket for it. A Reserve decides at an instance whose
// home gives no answer. Spending is an instance's memory of what its requests were granted,
// by which the count goes on when the home changes. None of them is safe for concurrent use.
package tlquota
