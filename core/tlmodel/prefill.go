package tlmodel

import (
	"slices"
	"time"

	"trefoillanding/core/tlwire"
)

// PrefillEngine runs one prefill at a time, the most urgent first, and keeps
// each result for a short time.
type PrefillEngine struct {
	Name    string
	clock   *Clock
	model   tlwire.EngineModel
	cache   *Cache
	alive   bool
	queue   []*Prefill
	current *Prefill
	held    map[*Prefill]bool
}

// Prefill is one prompt to prefill.
type Prefill struct {
	Tokens   int
	Blocks   []uint64
	Priority int
	Done     func(cached int)
	Failed   func(reason string)
	Lapsed   func()

	cached  int
	started time.Time
	ends    time.Time
	ended   bool
}

// NewPrefillEngine returns an idle engine.
func NewPrefillEngine(c *Clock, name string, m tlwire.EngineModel) *PrefillEngine {
	return &PrefillEngine{
		Name:  name,
		clock: c,
		model: m,
		cache: NewCache(m.CacheTokens),
		alive: true,
		held:  make(map[*Prefill]bool),
	}
}

// Cache returns the engine's prefix cache.
func (e *PrefillEngine) Cache() *Cache {
	return e.cache
}

// Alive says that the engine answers.
func (e *PrefillEngine) Alive() bool {
	return e.alive
}

// Start queues a prefill.
func (e *PrefillEngine) Start(p *Prefill) {
	if !e.alive {
		p.Failed(ReasonDead)
		return
	}
	i := len(e.queue)
	for i > 0 && e.queue[i-1].Priority < p.Priority {
		i--
	}
	e.queue = slices.Insert(e.queue, i, p)
	e.next()
}

// Cancel stops a prefill at any stage, or drops its result.
func (e *PrefillEngine) Cancel(p *Prefill) {
	delete(e.held, p)
	e.queue = slices.DeleteFunc(e.queue, func(o *Prefill) bool { return o == p })
	if e.current == p {
		p.ends = e.clock.Now()
		p.ended = true
		e.current = nil
		e.next()
	}
}

// Release drops a result that has been moved.
func (e *PrefillEngine) Release(p *Prefill) {
	delete(e.held, p)
}

// Holds says that the result of a prefill is still there.
func (e *PrefillEngine) Holds(p *Prefill) bool {
	return e.held[p]
}

// Computed returns how many tokens the engine has computed for a prefill.
func (e *PrefillEngine) Computed(p *Prefill) float64 {
	if p.started.IsZero() {
		return 0
	}
	end := p.ends
	if !p.ended {
		end = e.clock.Now()
	}
	run := end.Sub(p.started) - e.model.PrefillOverhead
	tokens := run.Seconds() * e.model.PrefillTokensPerSecond
	return min(max(tokens, 0), float64(p.Tokens-p.cached))
}

// Backlog returns how long the work that waits or runs will take.
func (e *PrefillEngine) Backlog() time.Duration {
	var d time.Duration
	if e.current != nil {
		d = e.current.ends.Sub(e.clock.Now())
	}
	for _, p := range e.queue {
		d += e.Cost(p.Tokens, p.Blocks)
	}
	return d
}

// Cost returns how long a prefill takes with the cache as it is.
func (e *PrefillEngine) Cost(tokens int, blocks []uint64) time.Duration {
	return PrefillTime(e.model, tokens-e.cache.Match(blocks))
}

// Die loses everything that the engine has; Revive brings it back.
func (e *PrefillEngine) Die() {
	e.alive = false
	lost := e.queue
	if e.current != nil {
		e.current.ends = e.clock.Now()
		e.current.ended = true
		lost = append(lost, e.current)
	}
	for p := range e.held {
		delete(e.held, p)
	}
	e.queue, e.current = nil, nil
	e.cache.Clear()
	for _, p := range lost {
		p.Failed(ReasonDead)
	}
}

// Revive lets a dead engine take work again.
func (e *PrefillEngine) Revive() {
	e.alive = true
}

// Load returns the engine's view of its load.
func (e *PrefillEngine) Load() tlwire.LoadReport {
	l := tlwire.LoadReport{Name: e.Name, Role: tlwire.RolePrefill, ReportedAt: e.clock.Now()}
	for _, p := range e.queue {
		l.QueuedTokens += p.Tokens
	}
	if e.current != nil {
		l.Running = 1
		left := e.current.ends.Sub(e.clock.Now()).Seconds()
		l.QueuedTokens += int(left * e.model.PrefillTokensPerSecond)
	}
	return l
}

func (e *PrefillEngine) next() {
	if e.current != nil || len(e.queue) == 0 {
		return
	}
	p := e.queue[0]
	e.queue = e.queue[1:]
	e.current = p
	p.cached = e.cache.Match(p.Blocks)
	p.started = e.clock.Now()
	p.ends = p.started.Add(PrefillTime(e.model, p.Tokens-p.cached))
	e.clock.At(p.ends, func() { e.finish(p) })
}

func (e *PrefillEngine) finish(p *Prefill) {
	if e.current != p || p.ended {
		return
	}
	p.ended = true
	e.current = nil
	e.cache.Insert(p.Blocks)
	e.held[p] = true
	e.clock.After(e.model.HeldFor, func() { e.lapse(p) })
	e.next()
	p.Done(p.cached)
}

func (e *PrefillEngine) lapse(p *Prefill) {
	if !e.held[p] {
		return
	}
	delete(e.held, p)
	p.Lapsed()
}

// PrefillTime returns how long it takes to prefill so many uncached tokens.
func PrefillTime(m tlwire.EngineModel, tokens int) time.Duration {
	return m.PrefillOverhead + seconds(float64(tokens)/m.PrefillTokensPerSecond)
}
