// Package tlplain sends the calls of plain services to their endpoints.
//
// A call that a rule names as repeatable is tried again at other endpoints,
// within a budget. Any other call needs an Idempotency-Key and is sent once: on
// a fresh HTTP/1.1 connection, so that net/http has nothing to send again by
// itself, following no redirect, and only under a claim in the ledger. As long
// as nothing was written, or an endpoint refused the call because it is
// leaving, the same claim goes on to the next endpoint.
//
// An endpoint that is leaving answers 503 with a Draining header and does not
// run the call.
package tlplain
