package tlhealth

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlendpoint"
)

var (
	start = time.Unix(1000, 0)
	three = []tlendpoint.Endpoint{{ID: "a", Slots: 6}, {ID: "b", Slots: 6}, {ID: "c", Slots: 6}}
)

func newTable() *Table {
	return New(rand.New(rand.NewPCG(1, 1)))
}

func TestRequestsAvoidAnEndpointThatFailsAndComeBackWhenItAnswers(t *testing.T) {
	h := newTable()
	h.Observe(start, "a", Broken, 0)
	for range 50 {
		e, _ := h.Pick(start, three, nil, true)
		assert.NotEqual(t, "a", e.ID)
	}
	later := start.Add(firstDoubt)
	e, _ := h.Pick(later, three, nil, false)
	assert.NotEqual(t, "a", e.ID, "what runs once does not test a doubted endpoint")
	e, _ = h.Pick(later, three, nil, true)
	assert.Equal(t, "a", e.ID, "what may repeat does")
	e, _ = h.Pick(later, three, nil, true)
	assert.NotEqual(t, "a", e.ID, "one at a time")
	h.Observe(later, "a", Answered, time.Millisecond)
	assert.False(t, h.IsDoubted("a"))
}

func TestAShareOfErrorsMovesTrafficAway(t *testing.T) {
	h := newTable()
	for i := range 40 {
		for _, e := range three {
			o := Answered
			if e.ID == "a" && i%2 == 0 {
				o = ServerError
			}
			h.Observe(start, e.ID, o, 60*time.Millisecond)
		}
	}
	picked := map[string]int{}
	for range 100 {
		e, _ := h.Pick(start, three, nil, false)
		h.Observe(start, e.ID, CallerGone, 0)
		picked[e.ID]++
	}
	assert.Zero(t, picked["a"])
}

func TestDrainingAndTriedEndpointsComeLastOrNever(t *testing.T) {
	h := newTable()
	list := []tlendpoint.Endpoint{{ID: "a", IsDraining: true}, {ID: "b"}, {ID: "c"}}
	e, ok := h.Pick(start, list, []string{"b"}, true)
	assert.True(t, ok)
	assert.Equal(t, "c", e.ID)
	e, ok = h.Pick(start, list[:2], []string{"b"}, true)
	assert.True(t, ok)
	assert.Equal(t, "b", e.ID, "a tried one is better than none")
	_, ok = h.Pick(start, list[:1], nil, true)
	assert.False(t, ok)
}

func TestAnEndpointThatStartedAnewIsKnownAnew(t *testing.T) {
	h := newTable()
	h.Keep([]tlendpoint.Endpoint{{ID: "a", Born: 1}})
	h.Observe(start, "a", TimedOut, leastSilence)
	h.Keep([]tlendpoint.Endpoint{{ID: "a", Born: 1}})
	assert.True(t, h.IsDoubted("a"))
	h.Keep([]tlendpoint.Endpoint{{ID: "a", Born: 2}})
	assert.False(t, h.IsDoubted("a"))
}

func TestOnlyALongSilenceSpeaksAgainstAnEndpoint(t *testing.T) {
	h := newTable()
	h.Observe(start, "a", TimedOut, leastSilence-time.Millisecond)
	assert.False(t, h.IsDoubted("a"), "a route with a short timeout ends requests that are merely long")
	h.Observe(start, "a", TimedOut, leastSilence)
	assert.True(t, h.IsDoubted("a"))
}

// Endpoints that lost two in five answers were trusted again after each answer,
// and payments were lost one after the other.
func TestWhatRunsOnceKeepsAwayFromLostAnswersForLonger(t *testing.T) {
	h := newTable()
	h.Observe(start, "a", Broken, 0)
	later := start.Add(firstDoubt)
	h.Observe(later, "a", Answered, 60*time.Millisecond)
	assert.False(t, h.IsDoubted("a"))
	h.Observe(later, "b", Broken, 0)
	h.Observe(later, "c", Broken, 0)
	e, _ := h.Pick(later, three, nil, false)
	assert.Equal(t, "a", e.ID, "a risk is better than a doubt")
	for _, id := range []string{"b", "c"} {
		for range 12 {
			h.Observe(later, id, Answered, 60*time.Millisecond)
		}
	}
	for range 20 {
		e, _ = h.Pick(later, three, nil, false)
		assert.NotEqual(t, "a", e.ID)
		h.Observe(later, e.ID, CallerGone, 0)
	}
}
