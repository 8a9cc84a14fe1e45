package tlmodel

import (
	"slices"
	"time"

	"trefoillanding/core/tlwire"
)

// PrefillEngine simulates a prefill engine: it runs one prefill at a time,
// highest Priority first, and holds each result for the model's HeldFor.
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

// Prefill is one prompt to prefill. Lapsed is called when its result expires
// before it was released.
type Prefill struct {
	Tokens   int
	Blocks   []uint64
	Priority int
	Done     func(cached int)
	Failed   func(reason string)
	Lapsed   func()

	cached  int
	started time.Time
	endsAt  time.Time
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

// Alive reports whether the engine answers.
func (e *PrefillEngine) Alive() bool {
	return e.alive
}

// Start queues a prefill, or fails it if the engine is dead.
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
	e.startNext()
}

// Cancel removes a prefill that is queued or running, or drops its result.
func (e *PrefillEngine) Cancel(p *Prefill) {
	delete(e.held, p)
	e.queue = slices.DeleteFunc(e.queue, func(o *Prefill) bool { return o == p })
	if e.current == p {
		p.endsAt = e.clock.Now()
		p.ended = true
		e.current = nil
		e.startNext()
	}
}

// Release drops a result that has been transferred.
func (e *PrefillEngine) Release(p *Prefill) {
	delete(e.held, p)
}

// Holds reports whether the engine still holds the result of a prefill.
func (e *PrefillEngine) Holds(p *Prefill) bool {
	return e.held[p]
}

// Computed returns the number of tokens computed so far for a prefill, without
// cached ones.
func (e *PrefillEngine) Computed(p *Prefill) float64 {
	if p.started.IsZero() {
		return 0
	}
	end := p.endsAt
	if !p.ended {
		end = e.clock.Now()
	}
	run := end.Sub(p.started) - e.model.PrefillOverhead
	tokens := run.Seconds() * e.model.PrefillTokensPerSecond
	return min(max(tokens, 0), float64(p.Tokens-p.cached))
}

// Backlog returns how long the queued and running prefills will take.
func (e *PrefillEngine) Backlog() time.Duration {
	var d time.Duration
	if e.current != nil {
		d = e.current.endsAt.Sub(e.clock.Now())
	}
	for _, p := range e.queue {
		d += e.Cost(p.Tokens, p.Blocks)
	}
	return d
}

// Cost returns how long a prefill takes with the present cache contents.
func (e *PrefillEngine) Cost(tokens int, blocks []uint64) time.Duration {
	return PrefillTime(e.model, tokens-e.cache.Match(blocks))
}

// Die makes the engine stop answering until Revive: it fails queued and running
// prefills and drops the held results and the cache.
func (e *PrefillEngine) Die() {
	e.alive = false
	lost := e.queue
	if e.current != nil {
		e.current.endsAt = e.clock.Now()
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

// Revive makes a dead engine accept work again.
func (e *PrefillEngine) Revive() {
	e.alive = true
}

// Load returns the load that the engine reports.
func (e *PrefillEngine) Load() tlwire.LoadReport {
	l := tlwire.LoadReport{Name: e.Name, Role: tlwire.RolePrefill, ReportedAt: e.clock.Now()}
	for _, p := range e.queue {
		l.QueuedTokens += p.Tokens
	}
	if e.current != nil {
		l.Running = 1
		left := e.current.endsAt.Sub(e.clock.Now()).Seconds()
		l.QueuedTokens += int(left * e.model.PrefillTokensPerSecond)
	}
	return l
}

func (e *PrefillEngine) startNext() {
	if e.current != nil || len(e.queue) == 0 {
		return
	}
	p := e.queue[0]
	e.queue = e.queue[1:]
	e.current = p
	p.cached = e.cache.Match(p.Blocks)
	p.started = e.clock.Now()
	p.endsAt = p.started.Add(PrefillTime(e.model, p.Tokens-p.cached))
	e.clock.At(p.endsAt, func() { e.finish(p) })
}

func (e *PrefillEngine) finish(p *Prefill) {
	if e.current != p || p.ended {
		return
	}
	p.ended = true
	e.current = nil
	e.cache.Insert(p.Blocks)
	e.held[p] = true
	e.clock.After(e.model.HeldFor, func() { e.expire(p) })
	e.startNext()
	p.Done(p.cached)
}

func (e *PrefillEngine) expire(p *Prefill) {
	if !e.held[p] {
		return
	}
	delete(e.held, p)
	p.Lapsed()
}

// PrefillTime returns how long it takes to prefill the given number of uncached
// tokens.
func PrefillTime(m tlwire.EngineModel, tokens int) time.Duration {
	return m.PrefillOverhead + seconds(float64(tokens)/m.PrefillTokensPerSecond)
}
