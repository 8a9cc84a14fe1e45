package tlsched

import "trefoillanding/core/tlqueue"

// capacity is what the serving engines of a pool have together.
type capacity struct {
	prefills int
	decodes  int
	pieces   int
	largest  int
	streams  int
}

func (s *Scheduler) measure() capacity {
	var c capacity
	limit := s.streamLimit()
	for _, e := range s.order {
		if !e.isServing() {
			continue
		}
		if e.prefillsToo() {
			c.prefills++
		}
		if e.decodesToo() {
			c.decodes++
			c.pieces += e.memory.Total()
			c.largest = max(c.largest, e.memory.Total())
			c.streams += limit
		}
	}
	return c
}

// cost predicts what a request takes, in seconds of the whole pool.
func (s *Scheduler) cost(r *request) tlqueue.Cost {
	c := s.capacity
	if c.prefills == 0 || c.decodes == 0 {
		return tlqueue.Cost{}
	}
	return tlqueue.Cost{
		Prefill: s.prefillTime(r.PromptTokens).Seconds() / float64(c.prefills),
		Link:    s.transferTime(s.bytes(r)).Seconds() / float64(c.decodes),
		Decode:  s.decodeCost(s.need(r), s.decodeSeconds(r)),
	}
}

// decodeCost returns the part of the pool's decode memory, or streams if they are scarcer, times the seconds.
func (s *Scheduler) decodeCost(pieces int, seconds float64) float64 {
	p := float64(pieces) / float64(max(s.capacity.pieces, 1))
	n := 1 / float64(max(s.capacity.streams, 1))
	return max(p, n) * seconds
}

func (s *Scheduler) decodeSeconds(r *request) float64 {
	n := float64(min(s.options.AssumedAnswer, r.MaxTokens))
	if s.options.EstimateLengths {
		n = s.known.lengths.Mean(r.Organisation, r.Model, r.MaxTokens)
	}
	return n * s.known.step.At(float64(s.streamLimit()))
}
