package tllease

import (
	"time"

	"trefoillanding/core/tlwire"
)

// request is a record that takes or renews a lease, at its place in the log.
type request struct {
	record tlwire.LeaseTaken
	offset uint64
	time   time.Time
}

// rule says when a request is granted and under which fencing number.
type rule struct {
	name  string
	when  func(t *Table, current Lease, r request) bool
	fence func(r request) uint64
}

// rules are tried in order; a request that fits none changes nothing.
var rules = []rule{
	{"renew in time", isRenewal, renewed},
	{"adopt what was taken before the first record", isUnseen, renewed},
	{"take a free lease", isFree, taken},
	{"take over from an earlier incarnation of itself", isRestart, taken},
}

func isRenewal(_ *Table, c Lease, r request) bool {
	return r.record.Renews != 0 && r.record.Renews == c.Fence &&
		r.record.Instance == c.Instance && c.IsLive(r.time)
}

func isUnseen(t *Table, c Lease, r request) bool {
	return r.record.Renews > c.Fence && r.record.Renews < t.first
}

func isFree(t *Table, c Lease, r request) bool {
	return r.record.Renews == 0 && !c.IsLive(r.time) && t.isCertainAt(r.time)
}

func isRestart(_ *Table, c Lease, r request) bool {
	return r.record.Renews == 0 && r.record.Instance == c.Instance && r.record.Incarnation > c.Incarnation
}

func renewed(r request) uint64 {
	return r.record.Renews
}

func taken(r request) uint64 {
	return r.offset
}
