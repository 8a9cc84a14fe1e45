package tlendpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestNoticeHoldsForOneIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	old := Endpoint{ID: "e", Service: "s", Incarnation: 1}
	cases := []struct {
		name string
		e    Endpoint
		same bool
	}{
		{"1 the same", old, true},
		{"2 the same, draining by now", Endpoint{ID: "e", Service: "s", Incarnation: 1, IsDraining: true}, true},
		{"3 restarted under its ID", Endpoint{ID: "e", Service: "s", Incarnation: 2}, false},
		{"4 of another service", Endpoint{ID: "e", Service: "t", Incarnation: 1}, false},
		{"5 another ID", Endpoint{ID: "f", Service: "s", Incarnation: 1}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := NewNotices()
			assert.True(t, n.Leaving(now, old))
			assert.False(t, n.Leaving(now, old), "no news")
			assert.True(t, n.Rest(now, now.Add(time.Second), old))
			assert.Equal(t, c.same, n.IsLeaving(c.e))
			assert.Equal(t, c.same, !n.ClosedUntil(c.e).IsZero())
		})
	}
}

func TestLongerRestCounts(t *testing.T) {
	n, now, e := NewNotices(), time.Unix(1000, 0), Endpoint{ID: "e"}
	n.Rest(now, now.Add(5*time.Second), e)
	assert.False(t, n.Rest(now, now.Add(time.Second), e))
	assert.Equal(t, now.Add(5*time.Second), n.ClosedUntil(e))
}

func TestNoticesSurviveALapseOfTheEntryAndAreBounded(t *testing.T) {
	n, now := NewNotices(), time.Unix(1000, 0)
	e := Endpoint{ID: "e"}
	n.Leaving(now, e)
	n.Listed(now.Add(5*time.Second), nil)
	assert.True(t, n.IsLeaving(e))
	n.Listed(now.Add(time.Hour), nil)
	assert.False(t, n.IsLeaving(e))
	for k := range maxNotices + 10 {
		n.Leaving(now.Add(time.Duration(k)), Endpoint{ID: fmt.Sprint(k)})
	}
	assert.Len(t, n.byID, maxNotices)
	assert.False(t, n.IsLeaving(Endpoint{ID: "0"}))
}

func TestLimitIsTheLastOneNamed(t *testing.T) {
	n, now, e := NewNotices(), time.Unix(1000, 0), Endpoint{ID: "e", Incarnation: 1}
	_, _, ok := n.LimitOf(e)
	assert.False(t, ok)
	assert.False(t, n.Unlimit(e))
	assert.True(t, n.Limit(now, now, e, 2))
	assert.False(t, n.Limit(now, now.Add(time.Second), e, 3), "no news")
	assert.False(t, n.Limit(now, now, e, 2), "an older word")
	rate, named, ok := n.LimitOf(e)
	assert.True(t, ok)
	assert.InDelta(t, 3, rate, 0)
	assert.Equal(t, now.Add(time.Second), named)
	_, _, ok = n.LimitOf(Endpoint{ID: "e", Incarnation: 2})
	assert.False(t, ok, "restarted")
	assert.Equal(t, map[string]float64{"e": 3}, n.Limits())
	assert.True(t, n.Unlimit(e))
	assert.Empty(t, n.Limits())
}

func TestEndpointIsClosedForTheLongerOfItsRestAndItsLimit(t *testing.T) {
	n, now, e := NewNotices(), time.Unix(1000, 0), Endpoint{ID: "e"}
	n.Limit(now, now, e, 1)
	n.HoldOff(now, now.Add(time.Second), e)
	assert.Equal(t, now.Add(time.Second), n.ClosedUntil(e))
	assert.Zero(t, n.RestUntil(e))
	n.Rest(now, now.Add(3*time.Second), e)
	assert.Equal(t, now.Add(3*time.Second), n.ClosedUntil(e))
	n.HoldOff(now, now.Add(5*time.Second), e)
	n.Unlimit(e)
	assert.Equal(t, now.Add(3*time.Second), n.ClosedUntil(e), "an ended limit holds nothing off")
}
