// Package tlclaim builds a table from the claims of one log stream: who may send
// the call of an idempotency key, and what the call's outcome was.
//
// Applying records is deterministic: every reader of the same records has the
// same table, so instances need no agreement other than the order of the log. A
// claim is valid only if its key is free at the claim's offset; the first valid
// claim holds the key until it is released and is never taken over.
//
// A key is protected only while its claim can still be read. A UUIDv7 key carries
// a timestamp: a claim that is older than the key by more than KeySkew is
// ignored, so a reader whose coverage begins more than KeySkew before the key's
// timestamp has seen every claim of it. Any other key has no timestamp: it is
// accepted only while the reader knows that no claim of such a key was lost to
// log retention.
package tlclaim
