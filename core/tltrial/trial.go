package tltrial

import (
	"fmt"
	"math/rand/v2"
	"time"

	"trefoillanding/core/tlbaseline"
	"trefoillanding/core/tlmodel"
	"trefoillanding/core/tlwire"
	"trefoillanding/core/tlworkload"
)

const (
	// tail is how long arrivals go on after those that are measured.
	tail = 10 * time.Second
	// drain is how long the last requests have to end.
	drain = 60 * time.Second
	// tickDelay is the least time between two ticks of a home.
	tickDelay = time.Millisecond
)

// Setting says which run of an experiment to make.
type Setting struct {
	Experiment tlwire.Experiment
	// Capacity is the rate of requests a second at load 1.
	Capacity  float64
	Load      float64
	Arrivals  tlwire.ArrivalKind
	Condition tlwire.ConditionKind
	Policy    tlbaseline.Maker
	Seed      uint64
	// Trace is called with a line for each change of a request when it is set.
	Trace func(at time.Duration, request, text string)
}

// Trial is one run of an experiment.
type Trial struct {
	setting  Setting
	model    tlwire.EngineModel
	clock    *tlmodel.Clock
	start    time.Time
	random   *rand.Rand
	prefills map[string]*tlmodel.PrefillEngine
	decodes  map[string]*tlmodel.DecodeEngine
	names    []string
	homes    []*home
	seen     []tlwire.PoolSummary
	calls    map[string]*call
	retries  int
	result   *Result
}

// New returns a trial ready to run.
func New(s Setting) *Trial {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	t := &Trial{
		setting:  s,
		model:    s.Experiment.Engines,
		clock:    tlmodel.NewClock(start),
		start:    start,
		random:   rand.New(rand.NewPCG(s.Seed, 0x747269616c)),
		prefills: make(map[string]*tlmodel.PrefillEngine),
		decodes:  make(map[string]*tlmodel.DecodeEngine),
		calls:    make(map[string]*call),
	}
	t.result = newResult(s.Experiment)
	pools := t.buildPools()
	t.buildHomes(pools)
	return t
}

// Run runs the trial and returns what was measured.
func (t *Trial) Run() *Result {
	x := t.setting.Experiment
	w := tlworkload.New(x, t.setting.Seed)
	end := x.Warmup + x.Duration + tail
	rate := t.setting.Load * t.setting.Capacity
	for i, r := range w.Requests(t.setting.Arrivals, rate, end) {
		if r.Organisation == 0 && t.isUnflooded(uint64(i)) {
			continue
		}
		t.clock.At(t.start.Add(r.ArrivalTime), func() { t.arrive(r) })
	}
	t.startReports(end + drain)
	t.startFaults(end)
	t.clock.Run(t.start.Add(end))
	for len(t.calls) > 0 && t.since() < end+drain {
		t.clock.Run(t.clock.Now().Add(time.Second))
	}
	t.finish()
	return t.result
}

func (t *Trial) faulty() bool {
	return t.setting.Condition == tlwire.ConditionKindFaulty && t.setting.Experiment.Faults != nil
}

func (t *Trial) since() time.Duration {
	return t.clock.Now().Sub(t.start)
}

func (t *Trial) buildPools() []tlwire.Pool {
	var pools []tlwire.Pool
	for _, p := range t.setting.Experiment.Pools {
		w := tlwire.Pool{
			Name:               p.Name,
			Service:            t.setting.Experiment.Name,
			DataCentre:         p.DataCentre,
			LinkBytesPerSecond: t.model.LinkBytesPerSecond,
			PieceTokens:        t.model.PieceTokens,
		}
		for i := range p.Prefills {
			n := fmt.Sprintf("%s-p%d", p.Name, i)
			t.prefills[n] = tlmodel.NewPrefillEngine(t.clock, n, t.model)
			w.Engines = append(w.Engines, tlwire.Engine{Name: n, Role: tlwire.RolePrefill})
		}
		for i := range p.Decodes {
			n := fmt.Sprintf("%s-d%d", p.Name, i)
			t.decodes[n] = tlmodel.NewDecodeEngine(t.clock, n, t.model)
			w.Engines = append(w.Engines, tlwire.Engine{Name: n, Role: tlwire.RoleDecode})
		}
		for _, e := range w.Engines {
			t.names = append(t.names, e.Name)
		}
		pools = append(pools, w)
	}
	return pools
}

func (t *Trial) finish() {
	for _, c := range t.calls {
		c.end(Unfinished)
	}
	for _, h := range t.homes {
		h.policy.Count(func(n string, v uint64) { t.result.Counters[n] += v })
	}
}

func (t *Trial) trace(request, format string, args ...any) {
	if t.setting.Trace != nil {
		t.setting.Trace(t.since(), request, fmt.Sprintf(format, args...))
	}
}
