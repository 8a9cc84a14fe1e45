package tlconfigure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

// applyInput is one operator's apply call on top of a base generation.
type applyInput struct {
	base uint64
	mark int
}

// applyOutput is the result that the operator received.
type applyOutput struct {
	generation uint64
	verdict    tlwire.Verdict
	reason     tlverdict.Reason
}

// generationModel is the sequential model for the linearizability check; its
// state is the generation in force.
var generationModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(1)} },
	Step: func(state, input, output any) []any {
		g, a, e := state.(uint64), input.(applyInput), output.(applyOutput)
		switch {
		case e.reason == "" && a.base == g && e.generation == g+1:
			return []any{g + 1}
		case e.reason == tlverdict.ConfigConflict && a.base != g, e.reason == tlverdict.LogUnavailable, e.reason == tlverdict.LogBehind:
			return []any{g}
		case e.reason == tlverdict.ConfigUnknown && a.base == g:
			return []any{g, g + 1}
		case e.reason == tlverdict.ConfigUnknown:
			return []any{g}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

func seedCount(t *testing.T, fallback int) int {
	t.Helper()
	n, err := strconv.Atoi(os.Getenv("TL_SEEDS"))
	if err != nil {
		return fallback
	}
	return n
}

// Operators apply concurrently at several instances while reads and appends
// fail or their answers are lost, and some operators time out early.
func TestHistoryOfRacingOperators(t *testing.T) {
	for seed := range seedCount(t, 20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			l := newFakeLog()
			all := newCluster(t, l.log(), 4, 2, testHeartbeat, testTiming())
			_, err := all[0].configurer.Apply(testContext(t), smallConfigCall("first", 1))
			require.NoError(t, err)
			require.Empty(t, all[0].configurer.WaitInForce(testContext(t), 1))
			l.update(func() { l.faults = rand.New(rand.NewPCG(uint64(seed), 1)) })
			history, marks := raceOperators(t, all, uint64(seed))
			l.update(func() { l.faults = nil })
			require.True(t, porcupine.CheckOperations(generationModel.ToModel(), history), "seed %d", seed)

			g, err := all[0].configurer.Apply(testContext(t), smallConfigCall("last", 9999))
			require.NoError(t, err)
			require.Empty(t, all[1].configurer.WaitInForce(testContext(t), g))
			for generation, mark := range marks {
				assert.Equal(t, mark, markAtGeneration(t, l, generation), "generation %d", generation)
			}
		})
	}
}

func raceOperators(t *testing.T, all []*instance, seed uint64) ([]porcupine.Operation, map[uint64]int) {
	t.Helper()
	const operators, each = 4, 4
	var mu sync.Mutex
	var history []porcupine.Operation
	marks := map[uint64]int{}
	start := time.Now()
	var w sync.WaitGroup
	for o := range operators {
		r := rand.New(rand.NewPCG(seed, uint64(o+2)))
		w.Go(func() {
			for n := range each {
				c := all[r.IntN(len(all))].configurer
				base, _ := c.Current()
				a := applyInput{base: base, mark: 100*o + n + 10}
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(20+r.IntN(200))*time.Millisecond)
				call := smallConfigCall(fmt.Sprint(o, "-", n), a.mark)
				call.Base = base
				began := time.Since(start)
				g, err := c.Apply(ctx, call)
				e := applyOutput{generation: g}
				if err != nil {
					e.reason, e.verdict = tlverdict.Of(err).Reason, tlverdict.Of(err).Verdict
				}
				ended := time.Since(start)
				cancel()
				mu.Lock()
				if err == nil {
					marks[g] = a.mark
				}
				if e.reason == tlverdict.ConfigUnknown {
					ended = time.Hour
				}
				history = append(history, porcupine.Operation{
					ClientId: operators*n + o, Input: a, Call: began.Nanoseconds(), Output: e, Return: ended.Nanoseconds(),
				})
				mu.Unlock()
			}
		})
	}
	w.Wait()
	return history, marks
}

// markAtGeneration returns the mark of a generation, as found by a reader that
// starts from the beginning of the log.
func markAtGeneration(t *testing.T, l *fakeLog, generation uint64) int {
	t.Helper()
	f := stateAtGeneration(l, generation)
	require.Equal(t, generation, f.Generation)
	return f.Declared.Pools[0].PieceTokens
}
