package tlplace

import (
	"maps"
	"slices"
	"time"

	"trefoillanding/core/tlrole"
)

// needs holds the versions that requests need which no other may run, each with the latest
// deadline of a caller who has asked for it: until then that caller may come back.
type needs map[string]time.Time

func (n needs) add(r *Request) {
	if r.Version != anyVersion {
		n[r.Version] = later(n[r.Version], r.Deadline)
	}
}

// versions returns the versions that are still needed, in order.
func (n needs) versions(now time.Time) []string {
	maps.DeleteFunc(n, func(_ string, until time.Time) bool { return now.After(until) })
	return slices.Sorted(maps.Keys(n))
}

// roleNeeds returns the versions that are needed for a role plan.
func (b *Book) roleNeeds(now time.Time) []tlrole.Need {
	var list []tlrole.Need
	for _, version := range b.needs.versions(now) {
		k := tlrole.Need{Version: version}
		for _, r := range b.waiting {
			if r.Version == version {
				k.Waiting++
				k.Waited = max(k.Waited, now.Sub(r.arrived))
			}
		}
		list = append(list, k)
	}
	return list
}
