// Package tlledger keeps the claims of calls that must not repeat in the
// platform's log.
//
// A Ledger is what an instance asks before it sends a call. It hands each claim
// to the home of the claim's stream: a Home folds the streams that it is asked
// about and appends many claims at once. Two homes of one stream read the same
// records and decide the same, so a home may change at any moment.
//
// Lock order: Home.mu before Stream.mu; neither is held over I/O.
package tlledger
