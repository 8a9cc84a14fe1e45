package tlexperiment

import (
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"trefoillanding/core/tltrial"
	"trefoillanding/core/tlwire"
)

func quickExperiment(t *testing.T) tlwire.Experiment {
	return readExample(t, "quick.yaml")
}

func readExample(t *testing.T, name string) tlwire.Experiment {
	t.Helper()
	f, err := os.ReadFile(filepath.Join("..", "..", "examples", "experiments", name))
	require.NoError(t, err)
	x, err := Read(f)
	require.NoError(t, err)
	return x
}

func TestReadAcceptsExampleFiles(t *testing.T) {
	for _, n := range []string{"yengec.yaml", "sprue.yaml", "quick.yaml"} {
		assert.NotEmpty(t, readExample(t, n).Policies, n)
	}
}

func TestReadRejectsInvalidFiles(t *testing.T) {
	cases := []struct {
		name string
		file string
		want []string
	}{
		{"unknown field", "Name: a\nSeed: 3\n", []string{"field Seed not found"}},
		{"wrong type", "Seeds: many\n", []string{"line 1"}},
		{"several faults", "Policies: [Best]\n", []string{`"Best" is not known`, "Seeds: must be above 0", "Pools:"}},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			_, err := Read([]byte(k.file))
			for _, w := range k.want {
				assert.ErrorContains(t, err, w)
			}
		})
	}
}

func TestRunWritesIdenticalFilesForSameExperiment(t *testing.T) {
	defer goleak.VerifyNone(t)
	x := quickExperiment(t)
	x.Duration, x.Warmup, x.Loads, x.Seeds = 5*time.Second, 2*time.Second, []float64{1.1}, 2
	a, b := t.TempDir(), t.TempDir()
	require.NoError(t, Run(t.Context(), x, a, io.Discard))
	require.NoError(t, Run(t.Context(), x, b, io.Discard))
	l, err := os.ReadDir(a)
	require.NoError(t, err)
	assert.Len(t, l, 7)
	for _, f := range l {
		v, err := os.ReadFile(filepath.Join(a, f.Name()))
		require.NoError(t, err)
		w, err := os.ReadFile(filepath.Join(b, f.Name()))
		require.NoError(t, err)
		assert.Equal(t, string(v), string(w), f.Name())
	}
}

// TestSchedulerMeetsGoodputAndWasteTargets runs the quick experiment at 1.1 times
// the decode capacity: the scheduler must reach 95% of the oracle's goodput, waste
// under 1% of prefill and fail no request.
func TestSchedulerMeetsGoodputAndWasteTargets(t *testing.T) {
	x := quickExperiment(t)
	x.Conditions = []tlwire.ConditionKind{tlwire.ConditionKindClean}
	x.Loads, x.Policies = []float64{1.1}, []string{"Scheduler", oracleName}
	rows, tasks := plan(x)
	require.NoError(t, runAll(t.Context(), rows, tasks, io.Discard))
	assert.GreaterOrEqual(t, rows[0].Result.Goodput(), 0.95*rows[1].Result.Goodput())
	assert.Less(t, rows[0].Result.WastedShare(), 0.01)
	assert.Zero(t, rows[0].Result.Outcomes[tltrial.Failed])
}
