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

func summary(n, tokens int) tlwire.CompletionRequest {
	return tlwire.CompletionRequest{
		Model:     "kiosk-llm",
		Prompt:    fmt.Sprintf("summary %d answer=%d", n, tokens),
		MaxTokens: tokens,
	}
}

// requireWhole streams n answers at once and fails unless each is whole and right.
func requireWhole(ctx context.Context, t *testing.T, c *tlcaller.Caller, n, tokens int, during func()) {
	t.Helper()
	var running sync.WaitGroup
	var whole atomic.Int64
	for k := range n {
		running.Go(func() {
			q := summary(k, tokens)
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

func TestStreamsAreWhole(t *testing.T) {
	s := newSite(t, nil)
	requireWhole(bounded(t, 30*time.Second), t, s.caller(t), 30, 50, nil)
	s.requireNoMemoryHeld(t, time.Second)
}

func TestStreamsOfADeadInstanceGoOnElsewhere(t *testing.T) {
	s := newSite(t, nil)
	defer func() {
		if t.Failed() {
			t.Log(s.instances[1].metrics.String(), s.instances[2].metrics.String())
		}
	}()
	requireWhole(bounded(t, 90*time.Second), t, s.caller(t), 60, 300, func() {
		time.Sleep(300 * time.Millisecond)
		s.instances[0].Close()
	})
	s.requireNoMemoryHeld(t, 5*time.Second)
}

func TestDrainCutsNoRequest(t *testing.T) {
	s := newSite(t, nil)
	c := s.caller(t)
	requireWhole(bounded(t, 90*time.Second), t, c, 60, 400, func() {
		time.Sleep(200 * time.Millisecond)
		require.NoError(t, s.instances[0].Drain(bounded(t, 20*time.Second)))
		s.instances[0].Close()
	})
	assert.Zero(t, s.instances[0].refusals())
	s.requireNoMemoryHeld(t, time.Second)
}

func TestStreamsOfADeadEngineGoOnElsewhere(t *testing.T) {
	s := newSite(t, nil)
	requireWhole(bounded(t, 90*time.Second), t, s.caller(t), 60, 400, func() {
		time.Sleep(300 * time.Millisecond)
		s.deployment.Engines["izmir-decode-1"].Kill()
		s.deployment.Engines["bodrum-prefill-1"].Kill()
	})
	s.requireNoMemoryHeld(t, 5*time.Second)
}

func TestMemoryOfCallersThatLeaveIsFree(t *testing.T) {
	cases := []struct {
		name  string
		after time.Duration
	}{
		{"in prefill", 10 * time.Millisecond},
		{"in transfer", 60 * time.Millisecond},
		{"in decode", 300 * time.Millisecond},
		{"in the queue", 400 * time.Millisecond},
	}
	s := newSite(t, func(b *tlstandin.Behaviour) { b.PiecesTotal = 2 })
	c := s.caller(t)
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			ctx, stop := context.WithTimeout(context.Background(), v.after)
			defer stop()
			var running sync.WaitGroup
			for k := range 20 {
				running.Go(func() {
					_, err := c.Stream(ctx, summary(k, 1000), nil)
					assert.Error(t, err)
				})
			}
			running.Wait()
			s.requireNoMemoryHeld(t, time.Second)
		})
	}
}

// Case 1: a request that had begun stayed with its pool when the last engine
// there died, and its caller got RetriesSpent though other pools were idle.
func TestStreamsOfADeadDataCentreGoOnInAnother(t *testing.T) {
	s := newSite(t, nil)
	requireWhole(bounded(t, 90*time.Second), t, s.caller(t), 60, 400, func() {
		time.Sleep(300 * time.Millisecond)
		for name, e := range s.deployment.Engines {
			if strings.HasPrefix(name, "izmir-") {
				e.Kill()
			}
		}
	})
	s.requireNoMemoryHeld(t, 5*time.Second)
}
