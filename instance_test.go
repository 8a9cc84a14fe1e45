package trefoillanding

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlcaller"
	"trefoillanding/io/tlstandin"
)

func summaryRequest(n, tokens int) tlwire.CompletionRequest {
	return tlwire.CompletionRequest{
		Model:     "kiosk-llm",
		Prompt:    fmt.Sprintf("summary %d answer=%d", n, tokens),
		MaxTokens: tokens,
	}
}

// requireCompleteStreams streams n answers concurrently, calls during meanwhile, and fails
// unless each answer is complete and correct.
func requireCompleteStreams(ctx context.Context, t *testing.T, c *tlcaller.Caller, n, tokens int, during func()) {
	t.Helper()
	var running sync.WaitGroup
	var whole atomic.Int64
	for k := range n {
		running.Go(func() {
			q := summaryRequest(k, tokens)
			r, err := c.Stream(ctx, q, nil)
			if assert.NoError(t, err) && assert.Equal(t, tlstandin.Answer(q.Prompt, 0, tokens), r.Text) {
				whole.Add(1)
			}
		})
	}
	if during != nil {
		during()
	}
	running.Wait()
	assert.EqualValues(t, n, whole.Load())
}

func TestStreamsAreComplete(t *testing.T) {
	s := newCluster(t, nil)
	requireCompleteStreams(withTimeout(t, 30*time.Second), t, s.caller(t), 30, 50, nil)
	s.requireNoMemoryHeld(t, time.Second)
}

func TestStreamsContinueAfterInstanceFailure(t *testing.T) {
	s := newCluster(t, nil)
	defer func() {
		if t.Failed() {
			t.Log(s.instances[1].metrics.String(), s.instances[2].metrics.String())
		}
	}()
	requireCompleteStreams(withTimeout(t, 90*time.Second), t, s.caller(t), 60, 300, func() {
		time.Sleep(300 * time.Millisecond)
		s.instances[0].Close()
	})
	s.requireNoMemoryHeld(t, 5*time.Second)
}

func TestDrainCompletesRequestsInFlight(t *testing.T) {
	s := newCluster(t, nil)
	c := s.caller(t)
	requireCompleteStreams(withTimeout(t, 90*time.Second), t, c, 60, 400, func() {
		time.Sleep(200 * time.Millisecond)
		require.NoError(t, s.instances[0].Drain(withTimeout(t, 20*time.Second)))
		s.instances[0].Close()
	})
	assert.Zero(t, s.instances[0].refusals())
	s.requireNoMemoryHeld(t, time.Second)
}

func TestStreamsContinueAfterEngineFailure(t *testing.T) {
	s := newCluster(t, nil)
	requireCompleteStreams(withTimeout(t, 90*time.Second), t, s.caller(t), 60, 400, func() {
		time.Sleep(300 * time.Millisecond)
		s.deployment.Engines["izmir-decode-1"].Kill()
		s.deployment.Engines["bodrum-prefill-1"].Kill()
	})
	s.requireNoMemoryHeld(t, 5*time.Second)
}

func TestEngineMemoryIsFreedWhenCallersDisconnect(t *testing.T) {
	cases := []struct {
		name  string
		after time.Duration
	}{
		{"in prefill", 10 * time.Millisecond},
		{"in transfer", 60 * time.Millisecond},
		{"in decode", 300 * time.Millisecond},
		{"in the queue", 400 * time.Millisecond},
	}
	s := newCluster(t, func(b *tlstandin.Behaviour) { b.PiecesTotal = 2 })
	c := s.caller(t)
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			ctx, stop := context.WithTimeout(context.Background(), v.after)
			defer stop()
			var running sync.WaitGroup
			for k := range 20 {
				running.Go(func() {
					_, err := c.Stream(ctx, summaryRequest(k, 1000), nil)
					assert.Error(t, err)
				})
			}
			running.Wait()
			s.requireNoMemoryHeld(t, time.Second)
		})
	}
}

// Guards against a request that has begun staying in its pool after the last engine
// there has failed: its caller got RetriesSpent although other pools were idle.
func TestStreamsContinueAfterDataCentreFailure(t *testing.T) {
	s := newCluster(t, nil)
	requireCompleteStreams(withTimeout(t, 90*time.Second), t, s.caller(t), 60, 400, func() {
		time.Sleep(300 * time.Millisecond)
		for name, e := range s.deployment.Engines {
			if strings.HasPrefix(name, "izmir-") {
				e.Kill()
			}
		}
	})
	s.requireNoMemoryHeld(t, 5*time.Second)
}
