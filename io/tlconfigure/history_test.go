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

// attempt is one operator's apply on the base that it names.
type attempt struct {
	base uint64
	mark int
}

// ending is what an operator was told.
type ending struct {
	generation uint64
	verdict    tlwire.Verdict
	reason     tlverdict.Reason
}

// registered is the state that applies must agree with: the generation in force.
var registered = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(1)} },
	Step: func(state, input, output any) []any {
		g, a, e := state.(uint64), input.(attempt), output.(ending)
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

func seeds(t *testing.T, ordinary int) int {
	t.Helper()
	n, err := strconv.Atoi(os.Getenv("TL_SEEDS"))
	if err != nil {
		return ordinary
	}
	return n
}

// Operators race at several instances while answers of the log are lost,
// refused and failing, and some operators give up early.
func TestHistoryOfRacingOperators(t *testing.T) {
	for seed := range seeds(t, 20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			l := newFakeLog()
			all := newCluster(t, l.log(), 4, 2, beat, testTimes())
			_, err := all[0].configurer.Apply(soon(t), declare("first", 1))
			require.NoError(t, err)
			require.Empty(t, all[0].configurer.WaitInForce(soon(t), 1))
			l.set(func() { l.random = rand.New(rand.NewPCG(uint64(seed), 1)) })
			history, marks := race(t, all, uint64(seed))
			l.set(func() { l.random = nil })
			require.True(t, porcupine.CheckOperations(registered.ToModel(), history), "seed %d", seed)

			g, err := all[0].configurer.Apply(soon(t), declare("last", 9999))
			require.NoError(t, err)
			require.Empty(t, all[1].configurer.WaitInForce(soon(t), g))
			for generation, mark := range marks {
				assert.Equal(t, mark, markOf(t, l, generation), "generation %d", generation)
			}
		})
	}
}

func race(t *testing.T, all []*instance, seed uint64) ([]porcupine.Operation, map[uint64]int) {
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
				a := attempt{base: base, mark: 100*o + n + 10}
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(20+r.IntN(200))*time.Millisecond)
				call := declare(fmt.Sprint(o, "-", n), a.mark)
				call.Base = base
				began := time.Since(start)
				g, err := c.Apply(ctx, call)
				e := ending{generation: g}
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

// markOf returns the mark of a generation, as a reader finds it that begins now.
func markOf(t *testing.T, l *fakeLog, generation uint64) int {
	t.Helper()
	f := foldTo(l, generation)
	require.Equal(t, generation, f.Generation)
	return f.Declared.Pools[0].PieceTokens
}
