package tlsched

import (
	"math"
	"time"
)

const (
	// leastPatience and mostPatience bound the part of a result's life that a bet counts on.
	leastPatience = 0.2
	mostPatience  = 0.8
	// evenRisk is the chance of waste that is taken when goodput and waste weigh the same.
	evenRisk  = 0.005
	leastRisk = 0.001
	mostRisk  = 0.05
)

// mayBet says whether memory for the request will probably be free on some
// engine by the time its prefill has ended, or soon enough after it.
func (s *Scheduler) mayBet(now time.Time, r *request, done time.Time) bool {
	if !s.options.Reserve {
		return true
	}
	if !s.options.Speculate || float64(s.need(r)) > s.known.freedEach {
		return false
	}
	left := min(seconds(s.known.heldFor*s.patience()), r.slackAfter(done)) - s.transferTime(s.bytes(r))
	if left < 0 {
		return false
	}
	return s.chanceOfNone(now, s.need(r), (done.Sub(now)+left).Seconds()) <= s.risk()
}

// slackAfter returns the time from the end of the prefill to the target, or a long one if it is missed anyhow.
func (r *request) slackAfter(done time.Time) time.Duration {
	if r.item.Late() {
		return time.Hour
	}
	return r.Due.Sub(done)
}

// chanceOfNone returns the chance that no engine frees enough for so many
// pieces within the seconds given, beyond what earlier bets have claimed.
func (s *Scheduler) chanceOfNone(now time.Time, pieces int, within float64) float64 {
	all := 0
	for _, e := range s.order {
		all += e.streams
	}
	if all == 0 {
		return 1
	}
	each := s.known.freed.PerSecond(now) / s.known.freedEach / float64(all)
	none := 1.0
	for _, e := range s.order {
		if !e.decodesToo() || !e.takesWork(now) || e.memory.Total() < pieces {
			continue
		}
		ends := math.Ceil(float64(pieces-e.available()) / s.known.freedEach)
		none *= fewer(int(max(ends, 1)), each*float64(e.streams)*within)
	}
	return none
}

// fewer returns the chance that fewer than n events happen when the mean is given.
func fewer(n int, mean float64) float64 {
	p := math.Exp(-mean)
	sum := 0.0
	for i := range n {
		sum += p
		p *= mean / float64(i+1)
	}
	return min(sum, 1)
}

// patience is the part of a result's life that a bet counts on; it grows with the weight of goodput.
func (s *Scheduler) patience() float64 {
	w := s.weights
	return min(max(w.Goodput/(w.Goodput+w.WastedPrefill), leastPatience), mostPatience)
}

// risk is the chance of waste that a bet may have.
func (s *Scheduler) risk() float64 {
	return min(max(evenRisk*s.weights.Goodput/s.weights.WastedPrefill, leastRisk), mostRisk)
}
