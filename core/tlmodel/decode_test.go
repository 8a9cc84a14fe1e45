package tlmodel

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"trefoillanding/core/tlwire"
)

var testModel = tlwire.EngineModel{
	PrefillTokensPerSecond: 10000,
	PrefillOverhead:        5 * time.Millisecond,
	CacheTokens:            4 * BlockTokens,
	HeldFor:                800 * time.Millisecond,
	Pieces:                 10,
	PieceTokens:            100,
	StepBase:               10 * time.Millisecond,
	StepPerStream:          time.Millisecond,
	LinkBytesPerSecond:     1000,
}

func testClock() *Clock {
	return NewClock(time.Unix(0, 0))
}

func TestFreeAndHeldPiecesAddUpToTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := testClock()
		e := NewDecodeEngine(c, "d", testModel)
		var l []*Stream
		t.Repeat(map[string]func(*rapid.T){
			"import": func(t *rapid.T) {
				s := &Stream{
					Prompt: rapid.IntRange(1, 500).Draw(t, "prompt"),
					End:    rapid.IntRange(1, 300).Draw(t, "end"),
					Token:  func(int) {},
					Failed: func(string) {},
				}
				if e.Import(s, 0) == "" {
					l = append(l, s)
				}
			},
			"decode": func(t *rapid.T) {
				if s := drawStream(t, e.streams); s != nil {
					e.Decode(s)
				}
			},
			"cancel": func(t *rapid.T) {
				if s := drawStream(t, l); s != nil {
					e.Cancel(s)
				}
			},
			"die":    func(*rapid.T) { e.Die() },
			"revive": func(*rapid.T) { e.Revive() },
			"wait": func(t *rapid.T) {
				d := rapid.IntRange(1, 2000).Draw(t, "milliseconds")
				c.Run(c.Now().Add(time.Duration(d) * time.Millisecond))
			},
			"": func(t *rapid.T) {
				held := 0
				for _, s := range e.streams {
					held += s.Pieces
				}
				assert.Equal(t, testModel.Pieces, e.Free()+held)
				assert.GreaterOrEqual(t, e.Free(), 0)
			},
		})
	})
}

func drawStream(t *rapid.T, l []*Stream) *Stream {
	if len(l) == 0 {
		return nil
	}
	return rapid.SampledFrom(l).Draw(t, "stream")
}

func TestStepsTakeLongerWithMoreStreams(t *testing.T) {
	c := testClock()
	e := NewDecodeEngine(c, "d", testModel)
	var last time.Time
	for range 2 {
		s := &Stream{Prompt: 10, End: 100, Token: func(int) { last = c.Now() }, Failed: func(string) {}}
		assert.Empty(t, e.Import(s, 0))
		e.Decode(s)
	}
	c.Run(c.Now().Add(5 * time.Second))
	// The second stream joins at the second step.
	want := 11*time.Millisecond + 99*12*time.Millisecond + 11*time.Millisecond
	assert.Equal(t, time.Unix(0, 0).Add(want), last)
	assert.Equal(t, testModel.Pieces, e.Free())
}

func TestStreamThatCannotGrowFails(t *testing.T) {
	c := testClock()
	e := NewDecodeEngine(c, "d", testModel)
	reason := ""
	start := func(prompt, end int) {
		s := &Stream{Prompt: prompt, End: end, Token: func(int) {}, Failed: func(r string) { reason = r }}
		assert.Empty(t, e.Import(s, 0))
		e.Decode(s)
	}
	start(890, 1000)
	start(90, 1000)
	c.Run(c.Now().Add(time.Second))
	assert.Equal(t, ReasonFull, reason)
}
