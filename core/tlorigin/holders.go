package tlorigin

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// groups is how many groups attempts fall into. Those of a group have the same holders, so
// that the others that an instance tells, and keeps connections to, are a bounded number.
const groups = 8

// Holder is an instance that may hold copies of origins.
type Holder struct {
	Name        string
	Incarnation uint64
}

// Holders returns the n instances that hold copies of an attempt's origin, by rendezvous
// hashing for its group: whoever knows the same instances asks the same ones, and of the
// others that are chosen an end or a start of one changes none.
func Holders(attempt string, all []Holder, n int) []Holder {
	type scored struct {
		Holder
		score uint64
	}
	list := make([]scored, 0, len(all))
	group := strconv.FormatUint(xxhash.Sum64String(attempt)%groups, 10)
	for _, h := range all {
		list = append(list, scored{h, score(group, h.Name)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
	})
	chosen := make([]Holder, 0, n)
	for _, s := range list[:min(n, len(list))] {
		chosen = append(chosen, s.Holder)
	}
	return chosen
}

// NewHolders returns the holders of an attempt's origin that were none, or have restarted,
// when the instances were those of before.
func NewHolders(attempt string, before, now []Holder, n int) []Holder {
	old := Holders(attempt, before, n)
	return slices.DeleteFunc(Holders(attempt, now, n), func(h Holder) bool { return slices.Contains(old, h) })
}

func score(group, name string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(name)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(group)
	return h.Sum64()
}
