package tlverdict

import (
	"maps"
	"slices"
)

// Reasons returns all reasons in alphabetical order.
func Reasons() []Reason {
	return slices.Sorted(maps.Keys(responses))
}
