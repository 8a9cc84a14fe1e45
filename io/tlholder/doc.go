// Package tlholder takes, renews and releases leases in the platform's log, for
// one instance.
//
// A lease counts as held only if the log answered with the offset of the request's
// record and folding the records up to that offset grants it. If the answer is
// lost, the instance does not act under the lease: the next try finds that it is
// this instance's own, or it lapses.
package tlholder
