package tlstandin

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"trefoillanding/core/tlwire"
)

// memory is an engine whose calls, lapses and deaths come in any order.
type memory struct {
	*Engine
}

func (m memory) attempt(t *rapid.T) string {
	return fmt.Sprint("a", rapid.IntRange(0, 3).Draw(t, "attempt"))
}

func (m memory) prompt(t *rapid.T) string {
	return strings.Repeat("x", rapid.IntRange(1, 120).Draw(t, "bytes"))
}

// on calls f with a job, if there is one for an attempt.
func (m memory) on(t *rapid.T, jobs map[string]*job, f func(*job)) {
	j := jobs[m.attempt(t)]
	if j != nil {
		f(j)
	}
}

func (m memory) prefillActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"prefill": func(t *rapid.T) {
			_, _ = m.queuePrefill(tlwire.PrefillRequest{Attempt: m.attempt(t), Model: "m", Prompt: m.prompt(t)})
		},
		"run": func(*rapid.T) {
			if j, _ := m.startPrefill(); j != nil {
				m.endPrefill(j)
			}
		},
		"lapse": func(t *rapid.T) { m.on(t, m.prefills, m.lapsePrefill) },
		"pin":   func(t *rapid.T) { m.on(t, m.prefills, func(j *job) { _, _ = m.pin(j.handle) }) },
		"unpin": func(t *rapid.T) {
			m.on(t, m.prefills, func(j *job) {
				if j.pins > 0 {
					m.unpin(j)
				}
			})
		},
		"cancel": func(t *rapid.T) {
			a := m.attempt(t)
			m.Cancel(a)
			delete(m.tombstones, a)
		},
		"die": func(*rapid.T) { m.Kill(); m.Restart() },
	}
}

func (m memory) decodeActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"import": func(t *rapid.T) {
			j, no := m.reserve(tlwire.ImportRequest{Attempt: m.attempt(t), Tokens: 7, Pieces: 1})
			if no == nil {
				j.prompt, j.bytes = m.prompt(t), 1
			}
		},
		"arrive": func(t *rapid.T) {
			m.on(t, m.decodes, func(j *job) { m.advance(j, time.Second, m.address, false) })
		},
		"decode": func(t *rapid.T) {
			a := m.attempt(t)
			_, _ = m.start(tlwire.DecodeRequest{Attempt: a, Stream: a, MaxTokens: 60}, newWatcher())
		},
		"resume": func(t *rapid.T) { _, _ = m.take(tlwire.ResumeRequest{Stream: m.attempt(t)}, newWatcher()) },
		"step":   func(t *rapid.T) { m.step(rapid.IntRange(1, 30).Draw(t, "tokens")) },
		"fail":   func(t *rapid.T) { m.on(t, m.decodes, func(j *job) { m.dropDecodeNow(j, goneFailed) }) },
	}
}

func TestMemoryIsNeverLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBehaviour()
		b.PiecesTotal, b.PieceTokens = 6, 10
		b.HoldFor, b.ImportedFor, b.FinishedFor = time.Hour, time.Hour, time.Hour
		m := memory{newEngine(tlwire.Engine{Name: "e", Role: tlwire.RoleBoth}, []tlwire.Model{{Name: "m"}}, b)}
		actions := m.prefillActions()
		maps.Copy(actions, m.decodeActions())
		actions[""] = func(t *rapid.T) { checkPieces(t, m.Engine) }
		t.Repeat(actions)
		for i := range 4 {
			m.Cancel(fmt.Sprint("a", i))
		}
		require.Equal(t, b.PiecesTotal, m.free)
	})
}

func checkPieces(t *rapid.T, e *Engine) {
	held := 0
	for _, m := range []map[string]*job{e.prefills, e.decodes} {
		for _, j := range m {
			require.Empty(t, j.cause)
			require.GreaterOrEqual(t, j.pieces, 0)
			held += j.pieces
		}
	}
	require.Equal(t, e.set.PiecesTotal, e.free+held)
	require.GreaterOrEqual(t, e.free, 0)
}
