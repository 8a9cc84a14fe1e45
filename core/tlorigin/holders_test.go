package tlorigin

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlmember"
)

func fleet(n int) []tlmember.Member {
	var all []tlmember.Member
	for k := range n {
		all = append(all, tlmember.Member{Name: fmt.Sprint("i", k), Incarnation: uint64(k + 1)})
	}
	return all
}

func TestHoldersOfAnOriginStayAsInstancesComeAndGo(t *testing.T) {
	all := fleet(20)
	for k := range 100 {
		attempt := fmt.Sprint("attempt-", k)
		chosen := Holders(attempt, all, 2)
		assert.Len(t, chosen, 2)
		reversed := slices.Clone(all)
		slices.Reverse(reversed)
		assert.Equal(t, chosen, Holders(attempt, reversed, 2), "whoever asks finds the same")
		left := slices.DeleteFunc(slices.Clone(all), func(h tlmember.Member) bool { return h == chosen[0] })
		assert.Equal(t, chosen[1], Holders(attempt, left, 2)[0])
		assert.Len(t, NewHolders(attempt, all, left, 2), 1, "one copy is missing")
		assert.Empty(t, NewHolders(attempt, all, slices.DeleteFunc(slices.Clone(all), func(h tlmember.Member) bool { return !slices.Contains(chosen, h) }), 2))
		more := append(slices.Clone(all), tlmember.Member{Name: "new", Incarnation: 99})
		assert.Subset(t, Holders(attempt, more, 3), chosen, "one more that is asked makes up for one that has joined")
	}
}

func TestRestartedHolderIsANewOne(t *testing.T) {
	before, now := fleet(2), fleet(2)
	now[0].Incarnation = 7
	assert.Equal(t, []tlmember.Member{now[0]}, NewHolders("a", before, now, 2))
	assert.Empty(t, NewHolders("a", now, now, 2))
}

// Guards against instances of which each keeps a connection to all others for its origins.
func TestHoldersAreABoundedNumberOfInstances(t *testing.T) {
	all, held := fleet(760), map[string]int{}
	for k := range 10_000 {
		for _, h := range Holders(fmt.Sprint("attempt-", k), all, 2) {
			held[h.Name]++
		}
	}
	assert.LessOrEqual(t, len(held), 2*groups)
	assert.GreaterOrEqual(t, len(held), groups, "no instance has the origins of all")
	for name, n := range held {
		assert.Less(t, n, 10_000/2, name)
	}
}
