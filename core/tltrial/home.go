package tltrial

import (
	"math/rand/v2"
	"time"

	"trefoillanding/core/tlbaseline"
	"trefoillanding/core/tlmodel"
	"trefoillanding/core/tlwire"
	"trefoillanding/core/tlworkload"
)

// home is one instance that decides, for a pool or for its own requests.
type home struct {
	trial      *Trial
	dataCentre string
	policy     tlbaseline.Policy
	pool       tlwire.Pool
	tickAt     time.Time
	random     *rand.Rand
	dead       bool
	// losses counts how often the home has lost its state.
	losses int
}

// buildHomes makes one home for each pool, one for each instance that sees
// the engines of all pools, or a single one, whichever the policy wants.
func (t *Trial) buildHomes(pools []tlwire.Pool) {
	all := pools[0]
	all.Engines = nil
	for _, p := range pools {
		all.Engines = append(all.Engines, p.Engines...)
	}
	switch t.setting.Policy.Scope {
	case tlbaseline.ScopePool:
		for i, p := range pools {
			t.addHome(p, p.DataCentre, uint64(i))
		}
		t.doubleHomes(pools)
	case tlbaseline.ScopeInstance:
		for i, n := range t.setting.Experiment.Instances {
			p := all
			p.Name = n.Name
			t.addHome(p, n.DataCentre, uint64(i))
		}
	case tlbaseline.ScopeAll:
		t.addHome(all, all.DataCentre, 0)
	}
}

// doubleHomes gives each pool a second home that knows nothing of the first.
func (t *Trial) doubleHomes(pools []tlwire.Pool) {
	if t.setting.Condition != tlwire.ConditionKindTwoHomes {
		return
	}
	for i, p := range pools {
		t.addHome(p, p.DataCentre, uint64(len(pools)+i))
	}
}

func (t *Trial) addHome(p tlwire.Pool, dataCentre string, number uint64) {
	h := &home{
		trial:      t,
		dataCentre: dataCentre,
		pool:       p,
		random:     rand.New(rand.NewPCG(t.setting.Seed, number)),
	}
	h.start()
	t.homes = append(t.homes, h)
	t.seen = append(t.seen, tlwire.PoolSummary{Pool: p.Name})
}

// start gives the home a policy that knows nothing yet.
func (h *home) start() {
	t := h.trial
	x := t.setting.Experiment
	h.policy = t.setting.Policy.Make(h.pool, service(x), organisations(x), h.random, t.truth())
}

func service(x tlwire.Experiment) tlwire.Service {
	outputs, prompts := 0, 0
	for _, c := range x.Requests {
		outputs = max(outputs, c.OutputMax)
		prompts = max(prompts, c.PromptMax)
	}
	return tlwire.Service{
		Name:    x.Name,
		Kind:    tlwire.ServiceKindCompletions,
		Targets: &tlwire.Targets{FirstToken: x.FirstToken, BetweenTokens: x.BetweenTokens},
		Weights: &tlwire.Weights{Goodput: x.Goodput, WastedPrefill: x.WastedPrefill},
		Bounds: &tlwire.Bounds{
			QueueWait:    x.QueueWait,
			QueueLength:  x.QueueLength,
			RetryShare:   x.RetryShare,
			MaxTokens:    outputs,
			PromptTokens: prompts,
		},
	}
}

func organisations(x tlwire.Experiment) []tlwire.Organisation {
	var l []tlwire.Organisation
	for i := range x.Organisations {
		l = append(l, tlwire.Organisation{Name: organisation(i), Weight: 1})
	}
	return l
}

// do calls the policy and sends its steps to the owners.
func (h *home) do(f func(time.Time) []tlwire.Step) {
	if h.dead {
		return
	}
	t := h.trial
	for _, s := range f(t.clock.Now()) {
		c := t.calls[s.Request]
		if c == nil {
			continue
		}
		t.clock.After(t.delay(h.dataCentre, c.dataCentre()), func() { c.take(h, s) })
	}
	h.planTick()
}

func (h *home) planTick() {
	c := h.trial.clock
	n := h.policy.Next()
	if n.IsZero() {
		return
	}
	if least := c.Now().Add(tickDelay); n.Before(least) {
		n = least
	}
	if h.tickAt.After(c.Now()) && !n.Before(h.tickAt) {
		return
	}
	h.tickAt = n
	c.At(n, func() { h.tick(n) })
}

func (h *home) tick(at time.Time) {
	if !h.tickAt.Equal(at) {
		return
	}
	h.tickAt = time.Time{}
	h.do(func(now time.Time) []tlwire.Step { return h.policy.Tick(now) })
}

func (t *Trial) delay(a, b string) time.Duration {
	if a == b {
		return t.model.LocalDelay
	}
	return t.model.RemoteDelay
}

func (t *Trial) truth() tlbaseline.Truth {
	return tlbaseline.Truth{
		Output:  t.output,
		Prefill: func(engine string) *tlmodel.PrefillEngine { return t.prefills[engine] },
		Decode:  func(engine string) *tlmodel.DecodeEngine { return t.decodes[engine] },
		Model:   t.model,
		LargestCost: func() float64 {
			return tlworkload.LargestCost(t.setting.Experiment, t.setting.Load)
		},
	}
}

// output returns the true length of an answer, 0 once nobody waits for it.
func (t *Trial) output(request string) int {
	c := t.calls[request]
	if c == nil {
		return 0
	}
	return c.request.Output
}
