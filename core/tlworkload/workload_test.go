package tlworkload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlwire"
)

var testExperiment = tlwire.Experiment{
	Pools:     []tlwire.ExperimentPool{{Name: "p", Prefills: 1, Decodes: 2}},
	Instances: []tlwire.ExperimentInstance{{Name: "i"}},
	Engines: tlwire.EngineModel{
		PrefillTokensPerSecond: 20000,
		Pieces:                 100,
		PieceTokens:            2000,
		StepBase:               10 * time.Millisecond,
		BytesPerToken:          1000,
		LinkBytesPerSecond:     20000000,
	},
	Requests: []tlwire.RequestClass{{
		Name: "c", Share: 1, PromptMedian: 1000, PromptMax: 1000, OutputMedian: 500, OutputMax: 500,
	}},
	Organisations: 4,
	FloodShare:    0.5,
}

func TestTargetGrowsWithTheIdleTime(t *testing.T) {
	cases := []struct {
		prompt int
		want   time.Duration
	}{
		{100, 330 * time.Millisecond},
		{1500, 330 * time.Millisecond},
		{2000, 400 * time.Millisecond},
		{10000, 1330 * time.Millisecond},
	}
	for _, k := range cases {
		r := Request{Prompt: k.prompt}
		assert.Equal(t, k.want, r.FirstTokenTarget(testExperiment.Engines, 330*time.Millisecond), k.prompt)
	}
}

func TestCapacityUsesAllMemoryExactly(t *testing.T) {
	// Every request holds 1 of 200 pieces for 500 steps of 10 ms.
	assert.InDelta(t, 200/5.0, Capacity(testExperiment), 1e-6)
	assert.InDelta(t, 100, StreamsPerEngine(testExperiment), 1e-6)
}

func TestArrivalsHaveTheMeanRateAndRepeat(t *testing.T) {
	for _, k := range []tlwire.ArrivalKind{tlwire.ArrivalKindPoisson, tlwire.ArrivalKindBursty} {
		l := New(testExperiment, 7).Requests(k, 20, 2000*time.Second)
		assert.InEpsilon(t, 40000, len(l), 0.05, k)
		assert.Equal(t, l, New(testExperiment, 7).Requests(k, 20, 2000*time.Second))
		flood := 0
		for _, r := range l {
			if r.Organisation == 0 {
				flood++
			}
		}
		assert.InEpsilon(t, 0.5, float64(flood)/float64(len(l)), 0.05)
	}
}

func TestSurgeDoublesTheMiddleThird(t *testing.T) {
	x := testExperiment
	x.Warmup, x.Duration = 1000*time.Second, 3000*time.Second
	var thirds [4]int
	for _, r := range New(x, 7).Requests(tlwire.ArrivalKindSurge, 10, 4000*time.Second) {
		thirds[r.At/(1000*time.Second)]++
	}
	for i, want := range []int{5000, 5000, 20000, 5000} {
		assert.InEpsilon(t, want, thirds[i], 0.05)
	}
}
