// Package tlrole decides which engines do prefill and which decode.
//
// It rebalances the roles when the load needs another ratio of prefill to decode
// engines than they started with: the memory of decode engines is full while
// prefill engines idle. An engine that changes its role is unavailable for longer
// than a burst lasts, so roles change before traffic starts, or one at a time
// while no request waits, or when prefill engines idle although requests wait for
// memory. No decode engine becomes a prefill engine in a burst, since decode
// engines can do prefill themselves.
//
// An engine serves only requests of its own version of the software. So a move takes an
// engine from the version that can spare it, never its last decode engine, and a version
// that has lost its decode engines gets one of its prefill engines while requests need it.
package tlrole
