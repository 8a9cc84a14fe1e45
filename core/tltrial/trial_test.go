package tltrial

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlbaseline"
	"trefoillanding/core/tlwire"
	"trefoillanding/core/tlworkload"
)

func smallExperiment() tlwire.Experiment {
	return tlwire.Experiment{
		Name: "llm",
		Pools: []tlwire.ExperimentPool{
			{Name: "a", DataCentre: "a", Prefills: 1, Decodes: 1},
			{Name: "b", DataCentre: "b", Prefills: 1, Decodes: 1},
		},
		Instances: []tlwire.ExperimentInstance{{Name: "a-1", DataCentre: "a"}, {Name: "b-1", DataCentre: "b"}},
		Engines: tlwire.EngineModel{
			PrefillTokensPerSecond: 50000,
			PrefillOverhead:        5 * time.Millisecond,
			CacheTokens:            50000,
			HeldFor:                800 * time.Millisecond,
			Pieces:                 40,
			PieceTokens:            2000,
			StepBase:               12 * time.Millisecond,
			StepPerStream:          600 * time.Microsecond,
			BytesPerToken:          131072,
			LinkBytesPerSecond:     12500000000,
			LocalDelay:             100 * time.Microsecond,
			RemoteDelay:            time.Millisecond,
			LoadEvery:              100 * time.Millisecond,
			LoadLag:                100 * time.Millisecond,
		},
		Requests: []tlwire.RequestClass{{
			Name: "c", Share: 1, PromptMedian: 2000, PromptSpread: 1, PromptMax: 20000,
			OutputMedian: 100, OutputSpread: 0.6, OutputMax: 500, PrefixTokens: 512, Prefixes: 2,
		}},
		Organisations: 4,
		FloodShare:    0.5,
		Duration:      6 * time.Second,
		FirstToken:    330 * time.Millisecond,
		BetweenTokens: 30 * time.Millisecond,
		Goodput:       1,
		WastedPrefill: 1,
		QueueWait:     5 * time.Second,
		QueueLength:   100,
		RetryShare:    0.1,
		Callers:       &tlwire.CallerModel{RetryShare: 0.5, MaxRetries: 2},
		Faults: &tlwire.FaultModel{
			LagMin: 100 * time.Millisecond, LagMax: 2 * time.Second, EventLoss: 0.1,
			StallEvery: 3 * time.Second, StallFor: time.Second,
			DeathEvery: 4 * time.Second, DeathFor: 2 * time.Second,
			HomeLossEvery: 3 * time.Second, GiveUpShare: 0.2, GiveUpAfter: time.Second,
		},
	}
}

// whole is how many policies run under every condition.
const whole = 4

// TestNothingIsLeftBehind runs every policy under every condition to its end:
// each request has one outcome, and no engine holds memory or a result.
func TestNothingIsLeftBehind(t *testing.T) {
	conditions := []tlwire.ConditionKind{
		tlwire.ConditionKindClean, tlwire.ConditionKindFaulty, tlwire.ConditionKindUnflooded,
		tlwire.ConditionKindHomeLoss, tlwire.ConditionKindTwoHomes,
	}
	x := smallExperiment()
	capacity := tlworkload.Capacity(x)
	for i, m := range tlbaseline.Makers() {
		for j, c := range conditions {
			if j != i%len(conditions) && i >= whole {
				continue
			}
			t.Run(m.Name+"/"+string(c), func(t *testing.T) {
				n := New(Setting{
					Experiment: x, Capacity: capacity, Load: 0.9, Condition: c, Policy: m, Seed: 3,
					Arrivals: tlwire.ArrivalKindPoisson,
				})
				r := n.Run()
				assert.Positive(t, r.Outcomes[Good])
				assert.Zero(t, r.Outcomes[Unfinished])
				for _, d := range n.decodes {
					assert.Equal(t, n.model.Pieces, d.Free(), d.Name)
				}
				for _, p := range n.prefills {
					assert.Zero(t, p.Backlog(), p.Name)
				}
				assert.LessOrEqual(t, r.Wasted, r.Computed)
			})
		}
	}
}

func TestSameSeedGivesSameResult(t *testing.T) {
	x := smallExperiment()
	capacity := tlworkload.Capacity(x)
	for _, m := range tlbaseline.Makers()[:6] {
		s := Setting{
			Experiment: x, Capacity: capacity, Load: 1.2, Condition: tlwire.ConditionKindFaulty, Policy: m, Seed: 5,
			Arrivals: tlwire.ArrivalKindBursty,
		}
		assert.Equal(t, New(s).Run(), New(s).Run(), m.Name)
	}
}

// TestSecondTransferReplacesTheFirst is case 1: a policy that sent an attempt to
// a second engine while the first transfer ran made the first one decode nothing.
func TestSecondTransferReplacesTheFirst(t *testing.T) {
	none := func(time.Time) []tlwire.Step { return nil }
	twice := tlbaseline.Policy{
		Submit: func(_ time.Time, s tlwire.Submission) []tlwire.Step {
			return []tlwire.Step{{Request: s.Request, Attempt: s.Request, Kind: tlwire.StepKindStartPrefill, Engine: "a-p0"}}
		},
		Report: func(_ time.Time, r tlwire.Report) []tlwire.Step {
			if r.Kind != tlwire.ReportKindPrefillDone {
				return nil
			}
			s := tlwire.Step{Request: r.Request, Attempt: r.Attempt, Kind: tlwire.StepKindStartTransfer}
			a, b := s, s
			a.Engine, b.Engine = "a-d0", "b-d0"
			return []tlwire.Step{a, b}
		},
		Load:        func(time.Time, tlwire.LoadReport) []tlwire.Step { return nil },
		CacheEvents: func(time.Time, string, tlwire.CacheEvents) {},
		Tick:        none,
		Next:        func() time.Time { return time.Time{} },
		Summary:     func(time.Time) tlwire.PoolSummary { return tlwire.PoolSummary{} },
		Count:       func(func(string, uint64)) {},
	}
	x := smallExperiment()
	m := tlbaseline.Maker{Scope: tlbaseline.ScopeAll, Make: func(tlwire.Pool, tlwire.Service, []tlwire.Organisation, *rand.Rand, tlbaseline.Truth) tlbaseline.Policy {
		return twice
	}}
	n := New(Setting{Experiment: x, Capacity: 1, Load: 1, Condition: tlwire.ConditionKindClean, Policy: m, Seed: 1})
	r := n.Run()
	assert.Equal(t, r.Offered(), r.Outcomes[Good])
	assert.GreaterOrEqual(t, r.Counters["OwnerMovedTransfer"], uint64(r.Offered()))
	assert.Equal(t, n.model.Pieces, n.decodes["a-d0"].Free())
}
