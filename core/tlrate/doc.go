// Package tlrate holds what is learned of the engines of a service from the
// requests that they serve: how long a prompt takes to read, how long an answer
// takes for each of its tokens, and how much of an engine a request occupies.
//
// An estimate is unknown until it rests on minSamples measurements. A decision
// treats an unknown estimate as no reason to refuse a request or to change a role.
// Each measurement is bounded by the estimate before it, so that a single slow
// engine, a clock that jumps or a garbled report moves an estimate by a bounded
// step. Instances merge their estimates, so that a new home of a service starts
// with what the fleet has measured.
package tlrate
