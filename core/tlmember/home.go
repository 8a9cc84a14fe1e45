package tlmember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Live returns the instances that stay and are not doubted, in order of data
// centre and name.
func (v *View) Live() []Member {
	v.refresh()
	return v.live
}

// Home returns the instance that rendezvous hashing makes the home of a pool:
// one in the pool's data centre while any is live there, else any live one, else self.
func (v *View) Home(pool, dataCentre string) string {
	v.refresh()
	from, to := v.span(dataCentre)
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

// IsHome says whether self is the home of a pool, without hashing where an
// instance of the pool's data centre comes first.
func (v *View) IsHome(pool, dataCentre string) bool {
	v.refresh()
	from, to := v.span(dataCentre)
	isSelf := func(m Member) bool { return m.Name == v.self }
	if from < to && !slices.ContainsFunc(v.live[from:to], isSelf) {
		return false
	}
	return v.Home(pool, dataCentre) == v.self
}

// Chosen returns the live instances of a data centre that rendezvous hashing
// picks for a purpose, at most n, best first; of all live ones where none is in
// the data centre or none is named.
func (v *View) Chosen(purpose, dataCentre string, n int) []string {
	v.refresh()
	from, to := v.span(dataCentre)
	if from == to {
		from, to = 0, len(v.live)
	}
	var names []string
	for _, m := range pick(purpose, v.live[from:to], n) {
		names = append(names, m.Name)
	}
	return names
}

// pick returns the n members that rendezvous hashing picks for a purpose, best first.
func pick(purpose string, from []Member, n int) []Member {
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

// strongShare is the part of the largest capacity from which an instance counts among the strongest.
const strongShare = 0.9

// Largest returns, of the live instances with the most capacity, the n that
// rendezvous hashing picks for a purpose, best first: work for many does not go
// to an instance with a small share of a core while there are larger ones.
func (v *View) Largest(purpose string, n int) []Member {
	v.refresh()
	return pick(purpose, v.strongest, n)
}

// strongest returns the members with the most capacity, or nearly.
func strongest(live []Member) []Member {
	most := 0.0
	for _, m := range live {
		most = max(most, m.Capacity)
	}
	var list []Member
	for _, m := range live {
		if m.Capacity >= strongShare*most {
			list = append(list, m)
		}
	}
	return list
}

// Oldest returns, of the n strongest instances for a purpose, the one that
// started first, where incarnations of all instances are numbers in one order:
// a purpose moves only when its instance ends, and not back to one that started
// anew. It is self where no other is live.
func (v *View) Oldest(purpose string, n int) string {
	oldest := Member{Name: v.self}
	for _, m := range v.Largest(purpose, n) {
		if oldest.Incarnation == 0 || m.Incarnation != 0 && m.Incarnation < oldest.Incarnation {
			oldest = m
		}
	}
	return oldest.Name
}

// span returns where the live instances of a data centre begin and end.
func (v *View) span(dataCentre string) (int, int) {
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
