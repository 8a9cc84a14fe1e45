package tlmember

import (
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
