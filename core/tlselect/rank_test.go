package tlselect

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

var candidates = []Candidate{
	{Name: "a", DataCentre: "izmir", InFlight: 0},
	{Name: "b", DataCentre: "izmir", InFlight: 9},
	{Name: "c", DataCentre: "bodrum", InFlight: 0},
	{Name: "d", DataCentre: "izmir", IsSuspect: true},
}

func TestRankPutsNearBeforeFarBeforeSuspect(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		e := Rank(candidates, "izmir", r)
		assert.Len(t, e, 4)
		assert.Equal(t, "c", e[2].Name)
		assert.Equal(t, "d", e[3].Name)
	}
}

func TestRankSpreadsCallersByRequestsInFlight(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	first := map[string]int{}
	for range 10_000 {
		first[Rank(candidates, "izmir", r)[0].Name]++
	}
	assert.InDelta(t, 1000, first["b"], 150, "with ten times the load, b gets a tenth of the callers")
	assert.Equal(t, 10_000, first["a"]+first["b"])
}
