package tlsched

import (
	"math/rand/v2"
	"time"

	"trefoillanding/core/tlwire"
)

// Scheduler holds the soft state of one pool and answers each event with the
// steps that owners are to take; it is not safe for concurrent use.
type Scheduler struct {
	pool    tlwire.Pool
	service tlwire.Service
	random  *rand.Rand
}

// New returns a scheduler for the pool of a service.
func New(p tlwire.Pool, s tlwire.Service, o []tlwire.Organisation, r *rand.Rand) *Scheduler {
	_ = o
	return &Scheduler{pool: p, service: s, random: r}
}

// Submit queues a request; a step that refuses it may come back at once.
func (s *Scheduler) Submit(now time.Time, r tlwire.Submission) []tlwire.Step {
	_, _ = now, r
	return nil
}

// Report takes in what an owner tells of one of its requests.
func (s *Scheduler) Report(now time.Time, r tlwire.Report) []tlwire.Step {
	_, _ = now, r
	return nil
}

// Load takes in an engine's lagging load report.
func (s *Scheduler) Load(now time.Time, l tlwire.LoadReport) []tlwire.Step {
	_, _ = now, l
	return nil
}

// CacheEvents takes in a run of an engine's late and gappy cache events.
func (s *Scheduler) CacheEvents(now time.Time, engine string, e tlwire.CacheEvents) {
	_, _, _ = now, engine, e
}

// Engine takes in a change of an engine's state.
func (s *Scheduler) Engine(now time.Time, name string, e EngineState) []tlwire.Step {
	_, _, _ = now, name, e
	return nil
}

// Tick lets time pass.
func (s *Scheduler) Tick(now time.Time) []tlwire.Step {
	_ = now
	return nil
}

// Next returns when Tick must be called at the latest; zero means that nothing waits for time.
func (s *Scheduler) Next() time.Time {
	return time.Time{}
}

// Summary returns what other instances are told of the pool.
func (s *Scheduler) Summary(now time.Time) tlwire.PoolSummary {
	_ = now
	return tlwire.PoolSummary{Pool: s.pool.Name}
}
