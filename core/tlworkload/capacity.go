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

// Capacity returns the rate of requests a second at which the memory and time
// of all decode engines are exactly used.
func Capacity(x tlwire.Experiment) float64 {
	n := sample(x)
	m := x.Engines
	step := m.StepBase.Seconds() + n.streams(m)*m.StepPerStream.Seconds()
	return float64(m.Pieces*decodes(x)) / (n.pieceTokens * step)
}

// StreamsPerEngine returns how many streams a decode engine holds when its memory is full.
func StreamsPerEngine(x tlwire.Experiment) float64 {
	return sample(x).streams(x.Engines)
}

// means are the means of what a request takes.
type means struct {
	output      float64
	pieceTokens float64
}

func sample(x tlwire.Experiment) means {
	w := New(x, capacitySeed)
	var n means
	for range capacitySamples {
		r := w.draw()
		o := float64(r.Output) / capacitySamples
		n.output += o
		n.pieceTokens += o * float64(tlmodel.Pieces(x.Engines, r.Prompt+r.Output))
	}
	return n
}

func (n means) streams(m tlwire.EngineModel) float64 {
	return float64(m.Pieces) * n.output / n.pieceTokens
}

// usedShare is the part of the capacity that the largest cost leaves in use.
const usedShare = 0.97

// LargestCost returns the cost, in pieces times tokens, up to which all requests
// together use no more than the decode capacity at a load.
func LargestCost(x tlwire.Experiment, load float64) float64 {
	w := New(x, capacitySeed)
	var l []float64
	sum := 0.0
	for range capacitySamples {
		r := w.draw()
		c := float64(r.Output * tlmodel.Pieces(x.Engines, r.Prompt+r.Output))
		l = append(l, c)
		sum += c
	}
	slices.Sort(l)
	left := sum * usedShare / load
	for _, c := range l {
		if left -= c; left < 0 {
			return c
		}
	}
	return l[len(l)-1]
}

// PrefillShare returns the part of the prefill engines' time that the decode
// capacity uses when nothing is cached.
func PrefillShare(x tlwire.Experiment) float64 {
	w := New(x, capacitySeed)
	var sum time.Duration
	for range capacitySamples {
		r := w.draw()
		sum += tlmodel.PrefillTime(x.Engines, r.Prompt)
	}
	n := 0
	for _, p := range x.Pools {
		n += p.Prefills
	}
	return Capacity(x) * sum.Seconds() / capacitySamples / float64(n)
}

func decodes(x tlwire.Experiment) int {
	n := 0
	for _, p := range x.Pools {
		n += p.Decodes
	}
	return n
}

func stream(seed, use uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, use))
}
