// Package tlmember decides from the platform's lagging instance list and from
// what peers report which entry instances are live, which one is the home of a
// pool, whom to exchange gossip with, and whether a stream's owner is gone.
//
// Being wrong about a home costs efficiency only. Being wrong about an owner
// costs a prefill, which is why an owner counts as gone only after others were
// asked and a stated time has passed.
package tlmember
