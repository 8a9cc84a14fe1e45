package tlorigin

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"trefoillanding/core/tlmember"
)

// groups is how many groups attempts fall into. Those of a group have the same holders, so
// that the others that an instance tells, and keeps connections to, are a bounded number.
const groups = 8

// Group returns the name of the group that an attempt falls into.
func Group(attempt string) string {
	return strconv.FormatUint(xxhash.Sum64String(attempt)%groups, 10)
}

// Holders returns the n instances that hold copies of an attempt's origin: whoever knows
// the same instances asks the same ones, and of the others that are chosen an end or a
// start of one changes none.
func Holders(attempt string, all []tlmember.Member, n int) []tlmember.Member {
	return tlmember.Pick(Group(attempt), all, n)
}

// NewHolders returns the holders of an attempt's origin that were none, or have restarted,
// when the instances were those of before.
func NewHolders(attempt string, before, now []tlmember.Member, n int) []tlmember.Member {
	old := Holders(attempt, before, n)
	return slices.DeleteFunc(Holders(attempt, now, n), func(h tlmember.Member) bool {
		return slices.ContainsFunc(old, func(o tlmember.Member) bool { return o.Name == h.Name && o.Incarnation == h.Incarnation })
	})
}
