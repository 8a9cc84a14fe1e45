package tlbaseline

import (
	"math/rand/v2"

	"trefoillanding/core/tlwire"
)

// choice picks one of several engines, or returns nil.
type choice func(l []*engine) *engine

func roundRobin() choice {
	next := 0
	return func(l []*engine) *engine {
		if len(l) == 0 {
			return nil
		}
		next++
		return l[next%len(l)]
	}
}

func leastLoad() choice {
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

func twoChoices(r *rand.Rand) choice {
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

// engine is what a baseline knows of an engine: its last report.
type engine struct {
	name string
	role tlwire.Role
	down bool
	load tlwire.LoadReport
}

func (e *engine) less(o *engine) bool {
	if e.role == tlwire.RolePrefill {
		return e.load.QueuedTokens < o.load.QueuedTokens
	}
	return e.load.PiecesFree > o.load.PiecesFree
}
