package tlreach

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

// round is a round of dials that takes 400 ms unless an endpoint is reached.
type round struct {
	after   time.Duration
	tried   int
	reached bool
}

func TestTroubleOfEndpointsIsTakenForACut(t *testing.T) {
	cases := []struct {
		name   string
		rounds []round
		isCut  bool
	}{
		{"1 nothing was tried", []round{{0, 0, false}}, false},
		{"2 several endpoints, one reached", []round{{0, 8, true}}, false},
		{"3 several endpoints, none reached", []round{{0, 8, false}}, true},
		{"4 two endpoints, none reached", []round{{0, 2, false}}, true},
		{"5 the only endpoint is silent for a second", []round{{0, 1, false}, {500 * time.Millisecond, 1, false}, {time.Second, 1, true}}, false},
		{"6 the only endpoint is not reached for long", []round{{0, 1, false}, {time.Second, 1, false}, {2 * time.Second, 1, false}}, true},
		{"7 the only endpoint now and then", []round{{0, 1, false}, {time.Second, 1, true}, {2 * time.Second, 1, false}}, false},
		{"8 reached again", []round{{0, 8, false}, {time.Second, 2, true}}, false},
		{"9 endpoints that are gone from the list say nothing", []round{{0, 8, false}, {time.Second, 0, false}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s State
			for _, r := range c.rounds {
				began := start.Add(r.after)
				ended := began.Add(400 * time.Millisecond)
				if r.reached {
					ended = began
				}
				before := s.IsCut()
				assert.Equal(t, s.Round(began, ended, r.tried, r.reached), before != s.IsCut())
			}
			assert.Equal(t, c.isCut, s.IsCut())
		})
	}
}
