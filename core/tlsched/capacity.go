package tlsched

import "trefoillanding/core/tlqueue"

// capacity is the sum of what the serving engines of a pool provide.
type capacity struct {
	prefillEngines int
	decodeEngines  int
	pieces         int
	largestMemory  int
	streams        int
}

func (s *Scheduler) sumCapacity() capacity {
	var c capacity
	limit := s.streamLimit()
	for _, e := range s.engineList {
		if !e.isServing() {
			continue
		}
		if e.canPrefill() {
			c.prefillEngines++
		}
		if e.canDecode() {
			c.decodeEngines++
			c.pieces += e.memory.Total()
			c.largestMemory = max(c.largestMemory, e.memory.Total())
			c.streams += limit
		}
	}
	return c
}

// cost predicts what a request takes, in seconds of the whole pool.
func (s *Scheduler) cost(r *request) tlqueue.Cost {
	c := s.capacity
	if c.prefillEngines == 0 || c.decodeEngines == 0 {
		return tlqueue.Cost{}
	}
	return tlqueue.Cost{
		Prefill: s.prefillTime(r.PromptTokens).Seconds() / float64(c.prefillEngines),
		Link:    s.transferTime(s.cacheBytes(r)).Seconds() / float64(c.decodeEngines),
		Decode:  s.decodeCost(s.neededPieces(r), s.decodeSeconds(r)),
	}
}

// decodeCost returns the seconds times the request's share of the pool's decode
// memory, or of its streams if that is larger.
func (s *Scheduler) decodeCost(pieces int, seconds float64) float64 {
	p := float64(pieces) / float64(max(s.capacity.pieces, 1))
	n := 1 / float64(max(s.capacity.streams, 1))
	return max(p, n) * seconds
}

func (s *Scheduler) decodeSeconds(r *request) float64 {
	n := float64(min(s.options.AssumedAnswer, r.MaxTokens))
	if s.options.EstimateLengths {
		n = s.estimates.lengths.Mean(r.Organisation, r.Model, r.MaxTokens)
	}
	return n * s.estimates.step.At(float64(s.streamLimit()))
}
