package tlsched

import (
	"math"
	"time"
)

const (
	// leastPatience and mostPatience bound the part of a result's life that a bet counts on.
	leastPatience = 0.2
	mostPatience  = 0.8
	// riskyShare is the chance of waste that is taken when goodput and waste weigh the same.
	riskyShare = 0.02
	leastRisk  = 0.002
	mostRisk   = 0.2
	// mostBetPieces is the most memory that is bet on at once, since it must be freed on one engine.
	mostBetPieces = 3
)

// mayBet says whether memory for the request will probably be free by the time
// its prefill has ended, or soon enough after it.
func (s *Scheduler) mayBet(now time.Time, r *request, done time.Time) bool {
	if !s.options.Reserve {
		return true
	}
	n := s.need(r)
	if !s.options.Bet || n > mostBetPieces {
		return false
	}
	h := done.Sub(now).Seconds() + s.patience()*s.known.heldFor
	mean := s.known.freed.PerSecond(now) * h
	want := float64(n + s.betPieces())
	deviation := math.Sqrt(mean * max(s.known.freedEach, 1))
	return mean-s.caution()*deviation >= want
}

// betPieces counts the memory that earlier bets wait for.
func (s *Scheduler) betPieces() int {
	n := 0
	for _, r := range s.unfunded {
		n += s.need(r)
	}
	return n
}

// patience is the part of a result's life that a bet counts on; it grows with the weight of goodput.
func (s *Scheduler) patience() float64 {
	w := s.weights
	return min(max(w.Goodput/(w.Goodput+w.WastedPrefill), leastPatience), mostPatience)
}

// caution is the number of standard deviations that a bet must hold against.
func (s *Scheduler) caution() float64 {
	w := s.weights
	p := min(max(riskyShare*w.Goodput/w.WastedPrefill, leastRisk), mostRisk)
	return math.Sqrt2 * math.Erfinv(1-2*p)
}
