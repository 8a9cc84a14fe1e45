package tlselect

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"trefoillanding/core/tlwire"
)

// maxEntries is the maximum number of entries in an answer.
const maxEntries = 8

// rankedCandidate is a candidate with its rank and its random order within the rank.
type rankedCandidate struct {
	Candidate
	rank int
	draw float64
}

// Rank returns the entries for a caller near a data centre, best first: live
// instances before suspects, and those in the data centre before others. Within a
// rank the order is random, weighted against instances with many requests in
// flight, so that callers that cache the answer do not all use the same instance.
func Rank(all []Candidate, dataCentre string, r *rand.Rand) []tlwire.Entry {
	list := make([]rankedCandidate, 0, len(all))
	for _, c := range all {
		list = append(list, rankedCandidate{
			Candidate: c,
			rank:      rankOf(c, dataCentre),
			draw:      -math.Log(1-r.Float64()) * float64(1+c.InFlight),
		})
	}
	slices.SortFunc(list, func(a, b rankedCandidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.draw, b.draw))
	})
	entries := make([]tlwire.Entry, 0, min(maxEntries, len(list)))
	for _, c := range list[:min(maxEntries, len(list))] {
		entries = append(entries, tlwire.Entry{
			Name:       c.Name,
			Address:    c.Address,
			DataCentre: c.DataCentre,
		})
	}
	return entries
}

// The ranks of candidates, in order of preference.
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
