// Package tlclaim folds the claims of one log stream into a table that says
// who may send the call of an idempotency key, and what became of it.
//
// The fold is pure: every reader of the same records has the same table, so
// the order of records in the log is the only agreement there is. A claim
// counts only if its key is free at its place in the log; the first one that
// counts holds the key until it is released, and nobody takes it over.
//
// A key is safe only while its claim can still be read. A UUIDv7 key carries
// its own time: a claim that is older than the key by more than KeySkew does
// not count, so a reader whose coverage begins before the key's time by more
// than KeySkew has seen every claim of it. Any other key has no age: it is
// accepted only while the reader's coverage is complete, which is to say that
// no claim of such a key was ever lost to retention.
package tlclaim
