// Package tlplain sends the calls of plain services to their endpoints.
//
// A call that a rule marks as repeatable is retried at other endpoints, within
// a retry budget. Any other call needs an Idempotency-Key and is sent once: under
// a claim in the ledger, without following redirects, and on a new HTTP/1.1
// connection, because net/http may resend a request on a reused one. If nothing
// was written, or if the endpoint refused the call because it is draining, the
// call is sent to the next endpoint under the same claim.
//
// An endpoint that is draining answers 503 with a Draining header and does not
// run the call.
package tlplain
