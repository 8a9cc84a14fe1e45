// Package tlledger keeps the claims of calls that must run at most once in the
// platform's log.
//
// An instance claims the key of a call at its Ledger before it sends the call. The
// Ledger sends the claim to the home of the key's stream: the instance whose Home
// applies the stream's records to a table and appends many claims at once. Two homes
// of one stream read the same records and make the same decisions, so the home of a
// stream may change at any moment.
//
// Lock order: Home.mu before Stream.mu; neither is held during I/O.
package tlledger
