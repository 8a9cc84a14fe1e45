// Package tlmember decides which entry instances are live, which one is the
// home of a pool, which peers receive gossip, and whether the owner of a stream
// is gone. It relies on the platform's instance list, which lags, and on reports
// of peers.
//
// A wrong home costs only efficiency. A wrong verdict on an owner costs a
// prefill, so an owner counts as gone only after peers have been asked and
// Timeouts.GoneAfter has passed.
package tlmember
