package tlmodel

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

type prefillOutcome struct {
	cached int
	done   bool
	lapsed bool
	failed string
}

func (l *prefillOutcome) prefill(tokens int, blocks ...uint64) *Prefill {
	return &Prefill{
		Tokens: tokens,
		Blocks: blocks,
		Done:   func(cached int) { l.done, l.cached = true, cached },
		Failed: func(reason string) { l.failed = reason },
		Lapsed: func() { l.lapsed = true },
	}
}

func TestPrefillIsCachedAndHeldUntilItExpires(t *testing.T) {
	c := testClock()
	e := NewPrefillEngine(c, "p", testModel)
	var first, second prefillOutcome
	p := first.prefill(600, 1, 2)
	e.Start(p)
	c.Run(c.Now().Add(100 * time.Millisecond))
	assert.True(t, first.done)
	assert.True(t, e.Holds(p))
	assert.InDelta(t, 600, e.Computed(p), 1)
	e.Start(second.prefill(600, 1, 3))
	c.Run(c.Now().Add(time.Second))
	assert.Equal(t, BlockTokens, second.cached)
	assert.True(t, first.lapsed)
	assert.False(t, e.Holds(p))
}

func TestCancelledPrefillCountsWhatItComputed(t *testing.T) {
	c := testClock()
	e := NewPrefillEngine(c, "p", testModel)
	var first, next prefillOutcome
	p := first.prefill(1000)
	e.Start(p)
	e.Start(next.prefill(100))
	c.Run(c.Now().Add(55 * time.Millisecond))
	e.Cancel(p)
	c.Run(c.Now().Add(50 * time.Millisecond))
	assert.InDelta(t, 500, e.Computed(p), 1)
	assert.False(t, first.done)
	assert.True(t, next.done)
}

func TestDeadPrefillEngineFailsItsPrefills(t *testing.T) {
	c := testClock()
	e := NewPrefillEngine(c, "p", testModel)
	var running, waiting, late prefillOutcome
	e.Start(running.prefill(1000))
	e.Start(waiting.prefill(1000))
	c.Run(c.Now().Add(50 * time.Millisecond))
	e.Die()
	e.Start(late.prefill(1))
	for _, l := range []prefillOutcome{running, waiting, late} {
		assert.Equal(t, ReasonDead, l.failed)
	}
}

func TestCacheEvictsTheLeastRecentlyUsed(t *testing.T) {
	c := NewCache(3 * BlockTokens)
	c.Insert([]uint64{1, 2})
	c.Insert([]uint64{1, 3})
	c.Insert([]uint64{4})
	assert.Equal(t, BlockTokens, c.Match([]uint64{1, 2}))
	assert.Equal(t, 2*BlockTokens, c.Match([]uint64{1, 3}))
	log := c.Drain()
	assert.Len(t, log, 5)
	assert.True(t, log[4].Evicted)
	assert.EqualValues(t, 2, log[4].Block)
	assert.EqualValues(t, 6, c.Next())
}
