package tlworkload

import (
	"math/rand/v2"
	"slices"
	"time"

	"trefoillanding/core/tlmodel"
	"trefoillanding/core/tlwire"
)

const (
	capacitySamples = 20000
	capacitySeed    = 1
)

// Capacity returns the request rate, in requests per second, that uses the
// memory and time of all decode engines exactly.
func Capacity(x tlwire.Experiment) float64 {
	n := sampleMeans(x)
	m := x.Engines
	step := m.StepBase.Seconds() + n.streams(m)*m.StepPerStream.Seconds()
	return float64(m.Pieces*decodeEngineCount(x)) / (n.pieceTokens * step)
}

// StreamsPerEngine returns the mean number of streams on a decode engine whose memory is full.
func StreamsPerEngine(x tlwire.Experiment) float64 {
	return sampleMeans(x).streams(x.Engines)
}

// requestMeans are mean values of a request: output in tokens, and the memory held
// for it during decoding, in pieces times tokens.
type requestMeans struct {
	output      float64
	pieceTokens float64
}

func sampleMeans(x tlwire.Experiment) requestMeans {
	w := New(x, capacitySeed)
	var n requestMeans
	for range capacitySamples {
		r := w.drawRequest()
		o := float64(r.Output) / capacitySamples
		n.output += o
		n.pieceTokens += o * float64(tlmodel.Pieces(x.Engines, r.Prompt+r.Output))
	}
	return n
}

func (n requestMeans) streams(m tlwire.EngineModel) float64 {
	return float64(m.Pieces) * n.output / n.pieceTokens
}

// targetUtilisation is the share of the decode capacity that requests up to the
// largest cost use.
const targetUtilisation = 0.97

// LargestCost returns the cost, in pieces times tokens, up to which all requests
// together use no more than targetUtilisation of the decode capacity. The load is
// a multiple of that capacity.
func LargestCost(x tlwire.Experiment, load float64) float64 {
	w := New(x, capacitySeed)
	var l []float64
	sum := 0.0
	for range capacitySamples {
		r := w.drawRequest()
		c := float64(r.Output * tlmodel.Pieces(x.Engines, r.Prompt+r.Output))
		l = append(l, c)
		sum += c
	}
	slices.Sort(l)
	left := sum * targetUtilisation / load
	for _, c := range l {
		if left -= c; left < 0 {
			return c
		}
	}
	return l[len(l)-1]
}

// PrefillShare returns the share of the prefill engines' time that is used at the
// request rate of Capacity when nothing is cached.
func PrefillShare(x tlwire.Experiment) float64 {
	w := New(x, capacitySeed)
	var sum time.Duration
	for range capacitySamples {
		r := w.drawRequest()
		sum += tlmodel.PrefillTime(x.Engines, r.Prompt)
	}
	n := 0
	for _, p := range x.Pools {
		n += p.Prefills
	}
	return Capacity(x) * sum.Seconds() / capacitySamples / float64(n)
}

func decodeEngineCount(x tlwire.Experiment) int {
	n := 0
	for _, p := range x.Pools {
		n += p.Decodes
	}
	return n
}

// newRandom returns a generator that depends on the seed and on what it is used for.
func newRandom(seed, use uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, use))
}
