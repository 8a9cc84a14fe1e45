package tlmodel

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestLinkSharesItsRate(t *testing.T) {
	cases := []struct {
		name  string
		bytes []int64
		stall time.Duration
		want  []time.Duration
	}{
		{"single transfer", []int64{1000}, 0, []time.Duration{time.Second}},
		{"two equal transfers", []int64{1000, 1000}, 0, []time.Duration{2 * time.Second, 2 * time.Second}},
		{"shorter transfer ends first", []int64{500, 1000}, 0, []time.Duration{time.Second, 1500 * time.Millisecond}},
		{"stall delays transfer", []int64{1000}, time.Second, []time.Duration{2 * time.Second}},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c := testClock()
			l := NewLink(c, 1000)
			got := make([]time.Duration, len(k.bytes))
			for i, b := range k.bytes {
				l.Start(b, func() { got[i] = c.Now().Sub(time.Unix(0, 0)) })
			}
			if k.stall > 0 {
				l.SetStalled(true)
				c.After(k.stall, func() { l.SetStalled(false) })
			}
			c.Run(c.Now().Add(time.Minute))
			for i := range k.want {
				assert.InDelta(t, k.want[i], got[i], float64(time.Millisecond))
			}
		})
	}
}
