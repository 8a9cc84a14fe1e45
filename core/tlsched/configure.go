package tlsched

import (
	"slices"
	"time"

	"trefoillanding/core/tlwire"
)

const (
	defaultQueueLength = 200
	defaultQueueWait   = 10 * time.Second
	defaultRetryShare  = 0.1
	defaultFirstToken  = 330 * time.Millisecond
	defaultBetween     = 30 * time.Millisecond
	defaultPieceTokens = 2000
)

// Configure takes in a changed configuration; engines that it no longer names get no new work.
func (s *Scheduler) Configure(now time.Time, p tlwire.Pool, v tlwire.Service, o []tlwire.Organisation) []tlwire.Step {
	s.last = now
	s.queue.SetWeights(weightsOf(o))
	s.shares.setWeights(weightsOf(o))
	s.configure(p, v)
	for _, e := range s.order {
		if e.removed {
			s.unreserve(e)
		}
	}
	s.forgetRemoved()
	s.capacity = s.measure()
	s.turnAway(now)
	s.place(now)
	return s.take()
}

// forgetRemoved drops the engines that the configuration no longer names and that nothing uses.
func (s *Scheduler) forgetRemoved() {
	used := make(map[*engine]bool)
	for _, r := range s.requests {
		used[r.prefill], used[r.source], used[r.decode] = true, true, true
	}
	s.order = slices.DeleteFunc(s.order, func(e *engine) bool {
		if !e.removed || used[e] {
			return false
		}
		s.prefixes.Remove(e.number)
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
	s.weights = tradeOf(v)
	for _, e := range s.order {
		e.removed = true
	}
	for _, e := range p.Engines {
		if old := s.engines[e.Name]; old != nil {
			old.removed = false
			continue
		}
		n := newEngine(e, s.prefixes.AddEngine(), s.options.AssumedPieces, p.LinkBytesPerSecond)
		s.engines[n.name] = n
		s.order = append(s.order, n)
	}
	s.capacity = s.measure()
}

func weightsOf(o []tlwire.Organisation) map[string]float64 {
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
	b.QueueLength = orElse(b.QueueLength, defaultQueueLength)
	b.QueueWait = orElse(b.QueueWait, defaultQueueWait)
	b.RetryShare = orElse(b.RetryShare, defaultRetryShare)
	return b
}

func targetsOf(v tlwire.Service) tlwire.Targets {
	var t tlwire.Targets
	if v.Targets != nil {
		t = *v.Targets
	}
	t.FirstToken = orElse(t.FirstToken, defaultFirstToken)
	t.BetweenTokens = orElse(t.BetweenTokens, defaultBetween)
	return t
}

func tradeOf(v tlwire.Service) tlwire.Weights {
	var w tlwire.Weights
	if v.Weights != nil {
		w = *v.Weights
	}
	w.Goodput = orElse(w.Goodput, 1)
	w.WastedPrefill = orElse(w.WastedPrefill, 1)
	return w
}

func orElse[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}
