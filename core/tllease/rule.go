package tllease

import (
	"time"

	"trefoillanding/core/tlwire"
)

// request is a record that takes or renews a lease, with its offset and log time.
type request struct {
	record tlwire.LeaseTaken
	offset uint64
	time   time.Time
}

// rule is a condition for granting a request, and the fencing number to grant.
type rule struct {
	name  string
	when  func(t *Table, current Lease, r request) bool
	fence func(r request) uint64
}

// rules are tried in order; a request that matches none changes nothing.
var rules = []rule{
	{"renew in time", isRenewal, renewedFence},
	{"adopt a lease taken before the first record", isRenewalOfUnseenLease, renewedFence},
	{"take a free lease", isForFreeLease, newFence},
	{"take over from an earlier incarnation of itself", isFromLaterIncarnation, newFence},
}

func isRenewal(_ *Table, c Lease, r request) bool {
	return r.record.Renews != 0 && r.record.Renews == c.Fence &&
		r.record.Instance == c.Instance && c.IsLive(r.time)
}

func isRenewalOfUnseenLease(t *Table, c Lease, r request) bool {
	return r.record.Renews > c.Fence && r.record.Renews < t.first
}

func isForFreeLease(t *Table, c Lease, r request) bool {
	return r.record.Renews == 0 && !c.IsLive(r.time) && t.knowsAllLeasesAt(r.time)
}

func isFromLaterIncarnation(_ *Table, c Lease, r request) bool {
	return r.record.Renews == 0 && r.record.Instance == c.Instance && r.record.Incarnation > c.Incarnation
}

func renewedFence(r request) uint64 {
	return r.record.Renews
}

func newFence(r request) uint64 {
	return r.offset
}
