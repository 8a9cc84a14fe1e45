// Package tlqueue orders the requests that wait for a pool: fairly between
// organisations by the cost of what they got, and by slack and cost among
// those that got no more than their share.
//
// A request that can't meet its target any more moves to a second lane, which
// gets a small share of the pool while the first lane has work and is served
// in order of arrival.
package tlqueue
