package tltrial

import (
	"time"

	"trefoillanding/core/tlbaseline"
	"trefoillanding/core/tlspill"
	"trefoillanding/core/tlwire"
)

// choose returns the homes that a request goes to, in the order in which it
// spills over from one to the next.
func (t *Trial) choose(c *call) []*home {
	if t.setting.Policy.Scope == tlbaseline.ScopeInstance {
		return t.homes[c.request.Instance : c.request.Instance+1]
	}
	var known []*home
	var l []tlspill.Candidate
	for i, h := range t.homes {
		if !t.knows(c, i) {
			continue
		}
		known = append(known, h)
		l = append(l, tlspill.Candidate{Summary: t.seen[i], Local: h.dataCentre == c.dataCentre()})
	}
	var homes []*home
	for _, i := range tlspill.Order(l, t.random) {
		homes = append(homes, known[i])
	}
	return homes
}

// knows says that the owner takes a home for the pool's only one; with two
// homes for each pool half of the owners know the first, the others the second.
func (t *Trial) knows(c *call, home int) bool {
	if t.setting.Condition != tlwire.ConditionKindTwoHomes || t.setting.Policy.Scope != tlbaseline.ScopePool {
		return true
	}
	first := home < len(t.homes)/2
	return first == (c.request.Instance%2 == 0)
}

// comeBack lets a refused caller try again as a new request.
func (c *call) comeBack(after time.Duration) {
	t := c.trial
	m := t.setting.Experiment.Callers
	if t.setting.Condition != tlwire.ConditionKindStorm || m == nil || c.visits >= m.MaxRetries || t.random.Float64() >= m.RetryShare {
		return
	}
	if m.IgnoreAdvice || after == 0 {
		after = impatience
	}
	t.retries++
	r := *c.request
	r.Name = r.Name + "+"
	visits := c.visits + 1
	t.clock.After(after, func() {
		t.arrive(&r).visits = visits
	})
}

// impatience is when a caller comes back that heeds no advice.
const impatience = 100 * time.Millisecond
