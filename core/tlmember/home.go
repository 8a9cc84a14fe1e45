package tlmember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Live returns the instances that are neither leaving, draining nor suspected,
// ordered by data centre and name.
func (v *View) Live() []Member {
	v.refresh()
	return v.live
}

// Home returns the home of a pool by rendezvous hashing: an instance in the given
// data centre if any is live there, else any live instance, else self.
func (v *View) Home(pool, dataCentre string) string {
	v.refresh()
	from, to := v.dataCentreRange(dataCentre)
	if from == to {
		from, to = 0, len(v.live)
	}
	home, best := v.self, uint64(0)
	for _, m := range v.live[from:to] {
		if s := score(pool, m.Name); s > best {
			home, best = m.Name, s
		}
	}
	return home
}

// IsHome says whether self is the home of a pool. It hashes nothing if self is
// not live in the given data centre while other instances are.
func (v *View) IsHome(pool, dataCentre string) bool {
	v.refresh()
	from, to := v.dataCentreRange(dataCentre)
	isSelf := func(m Member) bool { return m.Name == v.self }
	if from < to && !slices.ContainsFunc(v.live[from:to], isSelf) {
		return false
	}
	return v.Home(pool, dataCentre) == v.self
}

// Chosen returns at most n live instances of a data centre that rendezvous
// hashing picks for a purpose, best first. It picks from all live instances if
// the data centre is empty or has no live instance.
func (v *View) Chosen(purpose, dataCentre string, n int) []string {
	v.refresh()
	from, to := v.dataCentreRange(dataCentre)
	if from == to {
		from, to = 0, len(v.live)
	}
	var names []string
	for _, m := range Pick(purpose, v.live[from:to], n) {
		names = append(names, m.Name)
	}
	return names
}

// Pick returns at most n members that rendezvous hashing picks for a purpose, best first.
func Pick(purpose string, from []Member, n int) []Member {
	type scored struct {
		Member
		score uint64
	}
	all := make([]scored, 0, len(from))
	for _, m := range from {
		all = append(all, scored{m, score(purpose, m.Name)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Compare(b.score, a.score)
	})
	var picked []Member
	for _, m := range all[:min(n, len(all))] {
		picked = append(picked, m.Member)
	}
	return picked
}

// largestShare is the fraction of the largest capacity that makes an instance one of the largest.
const largestShare = 0.9

// Largest returns at most n of the live instances with the most capacity, picked
// for a purpose by rendezvous hashing, best first. It keeps work done for the
// whole fleet off instances with a small share of a core while larger ones live.
func (v *View) Largest(purpose string, n int) []Member {
	v.refresh()
	return Pick(purpose, v.largest, n)
}

// largest returns the members with at least largestShare of the largest capacity.
func largest(live []Member) []Member {
	most := 0.0
	for _, m := range live {
		most = max(most, m.Capacity)
	}
	var list []Member
	for _, m := range live {
		if m.Capacity >= largestShare*most {
			list = append(list, m)
		}
	}
	return list
}

// Oldest returns the instance that started first among the n that Largest picks
// for a purpose, or self if none is live. It requires that the incarnations of
// all instances come from one sequence. A purpose thus moves only when its
// instance ends, and not back to an instance that has restarted.
func (v *View) Oldest(purpose string, n int) string {
	return v.OldestMember(purpose, n).Name
}

// OldestMember returns the same instance with what is known of it; nothing but the name if
// it is self since none is live.
func (v *View) OldestMember(purpose string, n int) Member {
	if s := v.successors(purpose, n, 1); len(s) > 0 {
		return s[0]
	}
	return Member{Name: v.self}
}

// Successors returns up to count instances in the order in which a purpose moves to
// them: each is the Oldest of those that are left once the ones before it have ended.
func (v *View) Successors(purpose string, n, count int) []string {
	var names []string
	for _, m := range v.successors(purpose, n, count) {
		names = append(names, m.Name)
	}
	return names
}

func (v *View) successors(purpose string, n, count int) []Member {
	left := v.Largest(purpose, n+count-1)
	var list []Member
	for len(list) < count && len(left) > 0 {
		oldest := 0
		for i, m := range left[:min(n, len(left))] {
			// An unknown incarnation is 0, which becomes the largest.
			if m.Incarnation-1 < left[oldest].Incarnation-1 {
				oldest = i
			}
		}
		list = append(list, left[oldest])
		left = slices.Delete(left, oldest, oldest+1)
	}
	return list
}

// dataCentreRange returns the half-open range of v.live that lies in a data centre.
func (v *View) dataCentreRange(dataCentre string) (int, int) {
	compare := func(m Member, d string) int {
		if m.DataCentre < d {
			return -1
		}
		return 1
	}
	from, _ := slices.BinarySearchFunc(v.live, dataCentre, compare)
	to := from
	for to < len(v.live) && v.live[to].DataCentre == dataCentre {
		to++
	}
	return from, to
}

func score(pool, instance string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(instance)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(pool)
	return h.Sum64()
}
