package tlbaseline

import (
	"math/rand/v2"

	"trefoillanding/core/tlwire"
)

// selector returns one of several engines, or nil if the list is empty.
type selector func(l []*engine) *engine

func roundRobin() selector {
	next := 0
	return func(l []*engine) *engine {
		if len(l) == 0 {
			return nil
		}
		next++
		return l[next%len(l)]
	}
}

func leastLoad() selector {
	return func(l []*engine) *engine {
		var best *engine
		for _, e := range l {
			if best == nil || e.less(best) {
				best = e
			}
		}
		return best
	}
}

func twoChoices(r *rand.Rand) selector {
	return func(l []*engine) *engine {
		if len(l) == 0 {
			return nil
		}
		a, b := l[r.IntN(len(l))], l[r.IntN(len(l))]
		if b.less(a) {
			return b
		}
		return a
	}
}

// engine is a baseline's view of an engine, with its last load report.
type engine struct {
	name string
	role tlwire.Role
	down bool
	load tlwire.LoadReport
}

// less reports whether e is less loaded than o: by queued tokens for prefill
// engines, by free memory for decode engines.
func (e *engine) less(o *engine) bool {
	if e.role == tlwire.RolePrefill {
		return e.load.QueuedTokens < o.load.QueuedTokens
	}
	return e.load.PiecesFree > o.load.PiecesFree
}
