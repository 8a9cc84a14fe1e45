package tlaccess

import (
	"cmp"
	"maps"
	"slices"
)

// Organisations returns all organisations, sorted by name.
func (x *Index) Organisations() []*Organisation {
	return slices.SortedFunc(maps.Values(x.byName), func(a, b *Organisation) int {
		return cmp.Compare(a.Name, b.Name)
	})
}

// KeyCounts returns how many keys each organisation has that has any.
func (x *Index) KeyCounts() map[string]int {
	counts := map[string]int{}
	for _, o := range x.byKey {
		counts[o.Name]++
	}
	return counts
}

// KeysMissingIn returns how many keys of each organisation another index doesn't have, or
// has for another organisation.
func (x *Index) KeysMissingIn(other *Index) map[string]int {
	counts := map[string]int{}
	for key, o := range x.byKey {
		if p := other.byKey[key]; p == nil || p.Name != o.Name {
			counts[o.Name]++
		}
	}
	return counts
}
