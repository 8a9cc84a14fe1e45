package tltrial

import (
	"time"

	"trefoillanding/core/tlbaseline"
	"trefoillanding/core/tlspill"
)

// choose returns the home that a request goes to, other than the one that
// refused it; nil when there is none.
func (t *Trial) choose(c *call, refused *home) *home {
	if t.setting.Policy.Scope == tlbaseline.ScopeInstance {
		if refused != nil {
			return nil
		}
		return t.homes[c.request.Instance]
	}
	var l []tlspill.Candidate
	var homes []*home
	for i, h := range t.homes {
		if h == refused {
			continue
		}
		homes = append(homes, h)
		l = append(l, tlspill.Candidate{Summary: t.seen[i], Local: h.dataCentre == c.dataCentre()})
	}
	i := tlspill.Choose(l, t.random)
	if i < 0 {
		return nil
	}
	return homes[i]
}

// comeBack lets a refused caller try again as a new request.
func (c *call) comeBack(after time.Duration) {
	t := c.trial
	m := t.setting.Experiment.Callers
	if m == nil || c.visits >= m.MaxRetries || t.random.Float64() >= m.RetryShare {
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
		t.arrive(&r)
		t.calls[r.Name].visits = visits
	})
}

// impatience is when a caller comes back that heeds no advice.
const impatience = 100 * time.Millisecond
