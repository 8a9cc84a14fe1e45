package tlspill

import (
	"math/rand/v2"
	"time"

	"trefoillanding/core/tlwire"
)

// localBonus is how much longer the wait may be in the owner's own data centre.
const localBonus = 20 * time.Millisecond

// Candidate is a pool that a request may go to.
type Candidate struct {
	Summary tlwire.PoolSummary
	Local   bool
}

// Choose returns the index of the better of two pools picked at random, the
// local one being one of them if there is one; -1 when there is none.
func Choose(l []Candidate, r *rand.Rand) int {
	if len(l) == 0 {
		return -1
	}
	a := r.IntN(len(l))
	for i, c := range l {
		if c.Local {
			a = i
		}
	}
	b := r.IntN(len(l))
	if l[b].better(l[a]) {
		return b
	}
	return a
}

func (c Candidate) better(o Candidate) bool {
	if v, w := c.wait(), o.wait(); v != w {
		return v < w
	}
	return c.freeShare() > o.freeShare() && c.Local == o.Local
}

func (c Candidate) wait() time.Duration {
	w := c.Summary.Wait
	if c.Local {
		w = max(0, w-localBonus)
	}
	return w
}

func (c Candidate) freeShare() float64 {
	if c.Summary.PiecesTotal == 0 {
		return 0
	}
	return float64(c.Summary.PiecesFree) / float64(c.Summary.PiecesTotal)
}
