package tltrial

import (
	"slices"
	"strings"

	"trefoillanding/core/tlwire"
)

func (t *Trial) loseHome() {
	h := t.homes[t.random.IntN(len(t.homes))]
	if h.dead {
		return
	}
	t.trace(h.pool.Name, "loses its home")
	h.policy.Count(func(n string, v uint64) { t.result.Counters[n] += v })
	h.dead = true
	t.clock.After(detectLag, func() { t.replaceHome(h) })
}

// replaceHome starts a new home without state; owners submit again what does
// not decode yet.
func (t *Trial) replaceHome(h *home) {
	h.dead = false
	h.losses++
	h.start()
	var l []*call
	for _, c := range t.calls {
		if c.home == h && !c.decoding() {
			l = append(l, c)
		}
	}
	slices.SortFunc(l, func(a, b *call) int { return strings.Compare(a.request.Name, b.request.Name) })
	for _, c := range l {
		c.closeAttempt()
		c.tries++
		c.submit(h)
	}
}

func (c *call) decoding() bool {
	return c.attempt != nil && c.attempt.stream != nil && c.attempt.transfer == nil
}

// orphaned says that the home has lost its state since the request was submitted.
func (c *call) orphaned() bool {
	return c.losses != c.home.losses
}

func (t *Trial) isUnflooded(number uint64) bool {
	if t.setting.Condition != tlwire.ConditionKindUnflooded {
		return false
	}
	x := t.setting.Experiment
	keep := (1 - x.FloodShare) / float64(x.Organisations-1) / x.FloodShare
	return float64(number*0x9e3779b97f4a7c15>>11)/(1<<53) >= keep
}
