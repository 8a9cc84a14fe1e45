package tlselect

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"trefoillanding/core/tlwire"
)

// limit is the most entries that an answer lists.
const limit = 8

// ranked is a candidate with the place that it drew.
type ranked struct {
	Candidate
	rank int
	draw float64
}

// Rank returns the entries for a caller near a data centre, best first: those
// that are heard of before suspects, near ones before far ones, and within a
// rank a random order in which a loaded instance comes late, so that callers
// that keep the answer do not all keep the same one.
func Rank(all []Candidate, dataCentre string, r *rand.Rand) []tlwire.Entry {
	list := make([]ranked, 0, len(all))
	for _, c := range all {
		list = append(list, ranked{
			Candidate: c,
			rank:      rankOf(c, dataCentre),
			draw:      -math.Log(1-r.Float64()) * float64(1+c.InFlight),
		})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.draw, b.draw))
	})
	entries := make([]tlwire.Entry, 0, min(limit, len(list)))
	for _, c := range list[:min(limit, len(list))] {
		entries = append(entries, tlwire.Entry{
			Name:       c.Name,
			Address:    c.Address,
			DataCentre: c.DataCentre,
		})
	}
	return entries
}

// The ranks of candidates.
const (
	rankNear = iota
	rankFar
	rankSuspect
)

func rankOf(c Candidate, dataCentre string) int {
	if c.IsSuspect {
		return rankSuspect
	}
	if c.DataCentre == dataCentre {
		return rankNear
	}
	return rankFar
}
