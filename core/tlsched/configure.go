package tlsched

import (
	"time"

	"trefoillanding/core/tlwire"
)

// Configure takes in a new configuration of the pool while requests run: an
// engine that it no longer names gets no new work and finishes what it has.
func (s *Scheduler) Configure(now time.Time, p tlwire.Pool, v tlwire.Service, _ []tlwire.Organisation) []tlwire.Step {
	s.pool, s.service, s.bounds = p, v, boundsOf(v)
	named := map[string]bool{}
	for _, e := range p.Engines {
		named[e.Name] = true
		if s.engines[e.Name] == nil {
			s.add(newEngine(e, s.options.AssumedPieces))
		}
	}
	for _, e := range s.order {
		if !named[e.name] {
			e.state = EngineLeaving
		}
	}
	s.place(now)
	return s.take()
}
