package tlworkload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"trefoillanding/core/tlmodel"
	"trefoillanding/core/tlwire"
)

// The shape of bursty arrivals: one fifth of the time at two and a half times
// the mean rate, the rest at what remains.
const (
	burstFactor = 2.5
	burstShare  = 0.2
	burstMean   = 2 * time.Second
)

const minTokens = 16

// Workload draws requests; the same seed gives the same requests.
type Workload struct {
	experiment tlwire.Experiment
	random     *rand.Rand
	count      int
}

// New returns the workload of an experiment for a seed.
func New(x tlwire.Experiment, seed uint64) *Workload {
	return &Workload{experiment: x, random: stream(seed, 0x776f726b)}
}

// Requests returns the arrivals up to end at a mean rate a second.
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
		r := w.draw()
		r.ArrivalTime = at
		l = append(l, r)
	}
	return l
}

func (w *Workload) poisson(rate float64) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration {
		return w.wait(1 / rate)
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
			next := at + w.wait(1/r)
			if next < until {
				return next - now
			}
			at = until
			burst = !burst
			mean := burstMean.Seconds()
			if !burst {
				mean *= (1 - burstShare) / burstShare
			}
			until = at + w.wait(mean)
		}
	}
}

// surge returns gaps at twice the rate in the middle third of the measured
// time and at half of it outside.
func (w *Workload) surge(rate float64) func(time.Duration) time.Duration {
	first := w.experiment.Warmup + w.experiment.Duration/3
	last := first + w.experiment.Duration/3
	return func(now time.Duration) time.Duration {
		next := now + w.wait(2/rate)
		if now >= last || next < first {
			return next - now
		}
		return max(now, first) + w.wait(1/(2*rate)) - now
	}
}

func (w *Workload) wait(mean float64) time.Duration {
	return time.Duration(w.random.ExpFloat64()*mean*float64(time.Second)) + 1
}

func (w *Workload) draw() *Request {
	x := w.experiment
	c := w.class()
	w.count++
	r := &Request{
		Name:         fmt.Sprintf("r%06d", w.count),
		Organisation: w.organisation(),
		Instance:     w.random.IntN(len(x.Instances)),
		Prompt:       c.PrefixTokens + w.length(c.PromptMedian, c.PromptSpread, c.PromptMax-c.PrefixTokens),
		Output:       w.length(c.OutputMedian, c.OutputSpread, c.OutputMax),
		MaxTokens:    c.OutputMax,
	}
	r.Blocks = w.blocks(r, c)
	if f := x.Faults; f != nil && w.random.Float64() < f.GiveUpShare {
		r.GivesUpAfter = w.wait(f.GiveUpAfter.Seconds())
	}
	return r
}

func (w *Workload) class() tlwire.RequestClass {
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

func (w *Workload) organisation() int {
	x := w.experiment
	if x.Organisations < 2 || w.random.Float64() < x.FloodShare {
		return 0
	}
	return 1 + w.random.IntN(x.Organisations-1)
}

func (w *Workload) length(median, spread float64, most int) int {
	n := int(median * math.Exp(spread*w.random.NormFloat64()))
	return min(max(n, minTokens), most)
}

func (w *Workload) blocks(r *Request, c tlwire.RequestClass) []uint64 {
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

// mix spreads two numbers over 64 bits.
func mix(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 + b + 1
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
