package tlspill

import (
	"math/rand/v2"
	"time"

	"trefoillanding/core/tlwire"
)

// localWaitAllowance is how much longer the wait of a pool in the owner's own
// data centre may be for it to be preferred.
const localWaitAllowance = 20 * time.Millisecond

// Candidate is a pool that may serve a request; Local says whether it is in the
// owner's data centre.
type Candidate struct {
	Summary tlwire.PoolSummary
	Local   bool
}

// Choose returns the index of the better of two pools picked at random, or -1 if
// l is empty; if l has a local pool, it is one of the two.
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
	if l[b].isBetterThan(l[a]) {
		return b
	}
	return a
}

func (c Candidate) isBetterThan(o Candidate) bool {
	if v, w := c.wait(), o.wait(); v != w {
		return v < w
	}
	return c.freeShare() > o.freeShare() && c.Local == o.Local
}

// wait returns the pool's expected wait, less the allowance if it is local.
func (c Candidate) wait() time.Duration {
	w := c.Summary.Wait
	if c.Local {
		w = max(0, w-localWaitAllowance)
	}
	return w
}

func (c Candidate) freeShare() float64 {
	if c.Summary.PiecesTotal == 0 {
		return 0
	}
	return float64(c.Summary.PiecesFree) / float64(c.Summary.PiecesTotal)
}
