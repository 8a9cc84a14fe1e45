package tlworkload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"trefoillanding/core/tlmodel"
	"trefoillanding/core/tlwire"
)

// Bursty arrivals spend burstShare of the time at burstFactor times the mean rate,
// in bursts of burstMean on average. The rate outside bursts keeps the mean rate.
const (
	burstFactor = 2.5
	burstShare  = 0.2
	burstMean   = 2 * time.Second
)

const minTokens = 16

// Workload generates random requests; the same seed gives the same requests.
type Workload struct {
	experiment tlwire.Experiment
	random     *rand.Rand
	count      int
}

// New returns the workload of an experiment for a seed.
func New(x tlwire.Experiment, seed uint64) *Workload {
	return &Workload{experiment: x, random: newRandom(seed, 0x776f726b)}
}

// Requests returns the requests that arrive before end, in order of arrival, at a
// mean rate in requests per second.
func (w *Workload) Requests(k tlwire.ArrivalKind, rate float64, end time.Duration) []*Request {
	gap := w.poisson(rate)
	switch k {
	case tlwire.ArrivalKindBursty:
		gap = w.bursty(rate)
	case tlwire.ArrivalKindSurge:
		gap = w.surge(rate)
	}
	var l []*Request
	for at := gap(0); at < end; at += gap(at) {
		r := w.drawRequest()
		r.ArrivalTime = at
		l = append(l, r)
	}
	return l
}

func (w *Workload) poisson(rate float64) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration {
		return w.drawInterval(1 / rate)
	}
}

func (w *Workload) bursty(rate float64) func(time.Duration) time.Duration {
	calm := rate * (1 - burstShare*burstFactor) / (1 - burstShare)
	burst := false
	var until time.Duration
	return func(now time.Duration) time.Duration {
		at := now
		for {
			r := calm
			if burst {
				r = rate * burstFactor
			}
			next := at + w.drawInterval(1/r)
			if next < until {
				return next - now
			}
			at = until
			burst = !burst
			mean := burstMean.Seconds()
			if !burst {
				mean *= (1 - burstShare) / burstShare
			}
			until = at + w.drawInterval(mean)
		}
	}
}

// surge returns the gaps between arrivals at twice the rate in the middle third
// of the measured time and at half the rate outside it.
func (w *Workload) surge(rate float64) func(time.Duration) time.Duration {
	first := w.experiment.Warmup + w.experiment.Duration/3
	last := first + w.experiment.Duration/3
	return func(now time.Duration) time.Duration {
		next := now + w.drawInterval(2/rate)
		if now >= last || next < first {
			return next - now
		}
		return max(now, first) + w.drawInterval(1/(2*rate)) - now
	}
}

// drawInterval returns an exponentially distributed time; mean is in seconds.
func (w *Workload) drawInterval(mean float64) time.Duration {
	return time.Duration(w.random.ExpFloat64()*mean*float64(time.Second)) + 1
}

func (w *Workload) drawRequest() *Request {
	x := w.experiment
	c := w.drawClass()
	w.count++
	r := &Request{
		Name:         fmt.Sprintf("r%06d", w.count),
		Organisation: w.drawOrganisation(),
		Instance:     w.random.IntN(len(x.Instances)),
		Prompt:       c.PrefixTokens + w.drawLength(c.PromptMedian, c.PromptSpread, c.PromptMax-c.PrefixTokens),
		Output:       w.drawLength(c.OutputMedian, c.OutputSpread, c.OutputMax),
		MaxTokens:    c.OutputMax,
	}
	r.Blocks = w.drawBlocks(r, c)
	if f := x.Faults; f != nil && w.random.Float64() < f.GiveUpShare {
		r.GivesUpAfter = w.drawInterval(f.GiveUpAfter.Seconds())
	}
	return r
}

func (w *Workload) drawClass() tlwire.RequestClass {
	l := w.experiment.Requests
	sum := 0.0
	for _, c := range l {
		sum += c.Share
	}
	u := w.random.Float64() * sum
	for _, c := range l {
		u -= c.Share
		if u < 0 {
			return c
		}
	}
	return l[len(l)-1]
}

func (w *Workload) drawOrganisation() int {
	x := w.experiment
	if x.Organisations < 2 || w.random.Float64() < x.FloodShare {
		return 0
	}
	return 1 + w.random.IntN(x.Organisations-1)
}

// drawLength returns a log-normally distributed length from minTokens to most.
func (w *Workload) drawLength(median, spread float64, most int) int {
	n := int(median * math.Exp(spread*w.random.NormFloat64()))
	return min(max(n, minTokens), most)
}

// drawBlocks returns the hashes of the prompt's cache blocks; those of a shared
// prefix are the same for all requests of an organisation that use it.
func (w *Workload) drawBlocks(r *Request, c tlwire.RequestClass) []uint64 {
	l := make([]uint64, r.Prompt/tlmodel.BlockTokens)
	own := w.random.Uint64()
	shared := 0
	if c.Prefixes > 0 {
		shared = c.PrefixTokens / tlmodel.BlockTokens
	}
	which := uint64(r.Organisation)<<32 + uint64(c.PrefixTokens)<<8
	if shared > 0 {
		which += uint64(w.random.IntN(c.Prefixes))
	}
	for i := range l {
		l[i] = mix(own, uint64(i))
		if i < shared {
			l[i] = mix(which, uint64(i))
		}
	}
	return l
}

// mix hashes two numbers to 64 bits.
func mix(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 + b + 1
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
