// Package tlqueue orders the requests that wait for a pool. Organisations are
// served by weighted fair queueing on the cost of the requests they started;
// among organisations within their share, the request with the earliest rank
// (start deadline plus a delay for what it costs others) goes first.
//
// A request that can no longer meet its target moves from the on-time lane to
// the late lane, which gets a small share of the pool while the on-time lane
// has work and which serves each organisation's requests in order of arrival.
package tlqueue
