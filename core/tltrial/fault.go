package tltrial

import (
	"time"

	"trefoillanding/core/tlsched"
	"trefoillanding/core/tlwire"
)

// detectLag is how long homes take to learn that an engine died or came back.
const detectLag = time.Second

// startReports lets every engine report its load and cache events, and every
// home its summary, at a steady pace.
func (t *Trial) startReports(end time.Duration) {
	for _, n := range t.names {
		t.every(t.model.LoadEvery, end, func() {
			t.reportLoad(n)
			t.reportCache(n)
		})
	}
	for i := range t.homes {
		t.every(t.model.LoadEvery, end, func() { t.reportSummary(i) })
	}
	t.every(t.model.LoadEvery, end, t.sample)
}

func (t *Trial) every(d, end time.Duration, f func()) {
	t.clock.After(d, func() {
		f()
		if t.since() < end {
			t.every(d, end, f)
		}
	})
}

func (t *Trial) lag() time.Duration {
	if !t.faulty() {
		return t.model.LoadLag
	}
	f := t.setting.Experiment.Faults
	return f.LagMin + time.Duration(t.random.Int64N(int64(f.LagMax-f.LagMin)+1))
}

func (t *Trial) reportLoad(name string) {
	var l tlwire.LoadReport
	if p := t.prefills[name]; p != nil {
		if !p.Alive() {
			return
		}
		l = p.Load()
	} else {
		d := t.decodes[name]
		if !d.Alive() {
			return
		}
		l = d.Load()
	}
	t.toHomes(name, t.lag(), func(h *home) {
		h.do(func(now time.Time) []tlwire.Step { return h.policy.Load(now, l) })
	})
}

func (t *Trial) reportCache(name string) {
	p := t.prefills[name]
	if p == nil || !p.Alive() {
		return
	}
	log := p.Cache().Drain()
	if len(log) == 0 {
		return
	}
	e := tlwire.CacheEvents{Oldest: log[0].Sequence, Next: p.Cache().Next()}
	for _, v := range log {
		if t.faulty() && t.random.Float64() < t.setting.Experiment.Faults.EventLoss {
			continue
		}
		e.Events = append(e.Events, v)
	}
	t.toHomes(name, t.lag(), func(h *home) { h.policy.CacheEvents(t.clock.Now(), name, e) })
}

func (t *Trial) toHomes(engine string, lag time.Duration, f func(*home)) {
	for _, h := range t.homes {
		for _, e := range h.pool.Engines {
			if e.Name == engine {
				t.clock.After(lag, func() { f(h) })
			}
		}
	}
}

func (t *Trial) reportSummary(i int) {
	s := t.homes[i].policy.Summary(t.clock.Now())
	t.clock.After(t.model.LoadLag, func() { t.seen[i] = s })
}

func (t *Trial) sample() {
	x := t.setting.Experiment
	if n := t.since(); n < x.Warmup || n > x.Warmup+x.Duration {
		return
	}
	free := 0
	for _, d := range t.decodes {
		free += d.Free()
	}
	t.result.sampleHeld(1 - float64(free)/float64(len(t.decodes)*t.model.Pieces))
}

func (t *Trial) startFaults(end time.Duration) {
	f := t.setting.Experiment.Faults
	if f == nil {
		return
	}
	if t.setting.Condition == tlwire.ConditionKindHomeLoss && f.HomeLossEvery > 0 {
		t.every(f.HomeLossEvery, end, t.loseHome)
	}
	if !t.faulty() {
		return
	}
	if f.StallEvery > 0 {
		t.every(f.StallEvery, end, func() { t.stall(f.StallFor) })
	}
	if f.DeathEvery > 0 {
		t.every(f.DeathEvery, end, func() { t.kill(f.DeathFor) })
	}
}

func (t *Trial) stall(d time.Duration) {
	var l []string
	for _, n := range t.names {
		if t.decodes[n] != nil {
			l = append(l, n)
		}
	}
	link := t.decodes[l[t.random.IntN(len(l))]].Link
	link.SetStalled(true)
	t.clock.After(d, func() { link.SetStalled(false) })
}

func (t *Trial) kill(d time.Duration) {
	n := t.names[t.random.IntN(len(t.names))]
	die, revive := t.switches(n)
	t.trace(n, "dies")
	die()
	t.tellState(n, tlsched.EngineGone)
	t.clock.After(d, func() {
		revive()
		t.tellState(n, tlsched.EngineLive)
	})
}

func (t *Trial) tellState(name string, s tlsched.EngineState) {
	t.toHomes(name, detectLag, func(h *home) {
		h.do(func(now time.Time) []tlwire.Step { return h.policy.Engine(now, name, s) })
	})
}

func (t *Trial) switches(name string) (die, revive func()) {
	if p := t.prefills[name]; p != nil {
		return p.Die, p.Revive
	}
	d := t.decodes[name]
	return d.Die, d.Revive
}
