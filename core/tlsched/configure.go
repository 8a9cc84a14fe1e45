package tlsched

import (
	"slices"
	"time"

	"trefoillanding/core/tlwire"
)

const (
	defaultQueueLength   = 200
	defaultQueueWait     = 10 * time.Second
	defaultRetryShare    = 0.1
	defaultFirstToken    = 330 * time.Millisecond
	defaultBetweenTokens = 30 * time.Millisecond
	defaultPieceTokens   = 2000
)

// Configure applies a changed configuration; engines that it no longer names get no new work.
func (s *Scheduler) Configure(now time.Time, p tlwire.Pool, v tlwire.Service, o []tlwire.Organisation) []tlwire.Step {
	s.lastEvent = now
	s.queue.SetWeights(organisationWeightsOf(o))
	s.shares.setWeights(organisationWeightsOf(o))
	s.configure(p, v)
	for _, e := range s.engineList {
		if e.removed {
			s.releaseReservations(e)
		}
	}
	s.forgetRemoved()
	s.capacity = s.sumCapacity()
	s.refuseWaiting(now)
	s.place(now)
	return s.takeSteps()
}

// forgetRemoved drops the engines that the configuration no longer names and that no request uses.
func (s *Scheduler) forgetRemoved() {
	used := make(map[*engine]bool)
	for _, r := range s.requests {
		used[r.prefill], used[r.source], used[r.decode] = true, true, true
	}
	s.engineList = slices.DeleteFunc(s.engineList, func(e *engine) bool {
		if !e.removed || used[e] {
			return false
		}
		s.prefixes.RemoveEngine(e.prefixNumber)
		delete(s.engines, e.name)
		return true
	})
}

func (s *Scheduler) configure(p tlwire.Pool, v tlwire.Service) {
	if p.PieceTokens == 0 {
		p.PieceTokens = defaultPieceTokens
	}
	s.pool = p
	s.bounds = boundsOf(v)
	s.targets = targetsOf(v)
	s.weights = objectiveWeightsOf(v)
	for _, e := range s.engineList {
		e.removed = true
	}
	for _, e := range p.Engines {
		if old := s.engines[e.Name]; old != nil {
			old.removed = false
			continue
		}
		n := newEngine(e, s.prefixes.AddEngine(), s.options.AssumedPieces, p.LinkBytesPerSecond)
		s.engines[n.name] = n
		s.engineList = append(s.engineList, n)
	}
	s.capacity = s.sumCapacity()
}

func organisationWeightsOf(o []tlwire.Organisation) map[string]float64 {
	w := make(map[string]float64, len(o))
	for _, g := range o {
		w[g.Name] = g.Weight
	}
	return w
}

func boundsOf(v tlwire.Service) tlwire.Bounds {
	var b tlwire.Bounds
	if v.Bounds != nil {
		b = *v.Bounds
	}
	b.QueueLength = orDefault(b.QueueLength, defaultQueueLength)
	b.QueueWait = orDefault(b.QueueWait, defaultQueueWait)
	b.RetryShare = orDefault(b.RetryShare, defaultRetryShare)
	return b
}

func targetsOf(v tlwire.Service) tlwire.Targets {
	var t tlwire.Targets
	if v.Targets != nil {
		t = *v.Targets
	}
	t.FirstToken = orDefault(t.FirstToken, defaultFirstToken)
	t.BetweenTokens = orDefault(t.BetweenTokens, defaultBetweenTokens)
	return t
}

func objectiveWeightsOf(v tlwire.Service) tlwire.Weights {
	var w tlwire.Weights
	if v.Weights != nil {
		w = *v.Weights
	}
	w.Goodput = orDefault(w.Goodput, 1)
	w.WastedPrefill = orDefault(w.WastedPrefill, 1)
	return w
}

func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}
