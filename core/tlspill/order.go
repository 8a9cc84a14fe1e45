package tlspill

import (
	"math/rand/v2"
	"slices"
)

// Order returns the indices of the pools in the order in which a request tries
// them: the chosen one first, the others by wait and free decode memory, and the chosen
// one again at the end, for when no other could serve the request in time.
func Order(l []Candidate, r *rand.Rand) []int {
	first := Choose(l, r)
	order := make([]int, 0, len(l))
	for i := range l {
		if i != first {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if l[a].isBetterThan(l[b]) {
			return -1
		}
		if l[b].isBetterThan(l[a]) {
			return 1
		}
		return 0
	})
	if first >= 0 {
		order = slices.Insert(order, 0, first)
	}
	if len(l) > 1 {
		order = append(order, first)
	}
	return order
}
