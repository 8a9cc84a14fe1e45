package tlsched

import (
	"math"
	"time"
)

const (
	// minHoldShare and maxHoldShare bound the share of a prefill result's hold time that speculation counts on.
	minHoldShare = 0.2
	maxHoldShare = 0.8
	// balancedWasteChance is the accepted probability of a wasted prefill when goodput and
	// waste have equal weights.
	balancedWasteChance = 0.005
	lowestWasteChance   = 0.001
	highestWasteChance  = 0.05
)

// maySpeculate reports whether memory for the request will probably be free on some
// engine when its prefill ends, or soon enough afterwards.
func (s *Scheduler) maySpeculate(now time.Time, r *request, done time.Time) bool {
	if !s.options.Reserve {
		return true
	}
	if !s.options.Speculate || float64(s.neededPieces(r)) > s.estimates.freedPerStream {
		return false
	}
	left := min(seconds(s.estimates.heldFor*s.holdShare()), r.slackAfter(done)) - s.transferTime(s.cacheBytes(r))
	if left < 0 {
		return false
	}
	return s.chanceNoneFrees(now, s.neededPieces(r), (done.Sub(now)+left).Seconds()) <= s.maxWasteChance()
}

// slackAfter returns the time from the end of the prefill to the target, or an hour
// for a request that is late already.
func (r *request) slackAfter(done time.Time) time.Duration {
	if r.item.Late() {
		return time.Hour
	}
	return r.Due.Sub(done)
}

// chanceNoneFrees returns the probability that no engine frees the given number of
// pieces within the given seconds, beyond what earlier speculative prefills have
// claimed.
func (s *Scheduler) chanceNoneFrees(now time.Time, pieces int, within float64) float64 {
	all := 0
	for _, e := range s.engineList {
		all += e.streams
	}
	if all == 0 {
		return 1
	}
	each := s.estimates.freedRate.PerSecond(now) / s.estimates.freedPerStream / float64(all)
	none := 1.0
	for _, e := range s.engineList {
		if !e.canDecode() || !e.takesWork(now) || e.memory.Total() < pieces {
			continue
		}
		ends := math.Ceil(float64(pieces-e.availablePieces()) / s.estimates.freedPerStream)
		none *= poissonBelow(int(max(ends, 1)), each*float64(e.streams)*within)
	}
	return none
}

// poissonBelow returns the probability of fewer than n events in a Poisson distribution with the given mean.
func poissonBelow(n int, mean float64) float64 {
	p := math.Exp(-mean)
	sum := 0.0
	for i := range n {
		sum += p
		p *= mean / float64(i+1)
	}
	return min(sum, 1)
}

// holdShare returns the share of a prefill result's hold time that speculation counts
// on; it grows with the weight of goodput.
func (s *Scheduler) holdShare() float64 {
	w := s.weights
	return min(max(w.Goodput/(w.Goodput+w.WastedPrefill), minHoldShare), maxHoldShare)
}

// maxWasteChance returns the accepted probability that a speculative prefill is wasted.
func (s *Scheduler) maxWasteChance() float64 {
	return min(max(balancedWasteChance*s.weights.Goodput/s.weights.WastedPrefill, lowestWasteChance), highestWasteChance)
}
