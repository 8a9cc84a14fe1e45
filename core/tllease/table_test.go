package tllease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlrecord"
	"trefoillanding/core/tlwire"
)

var start = time.UnixMilli(1_800_000_000_000)

type recordStep struct {
	after       time.Duration
	instance    string
	incarnation uint64
	renews      uint64
	release     uint64
}

func (s recordStep) data(t *testing.T) []byte {
	if s.release != 0 {
		d, err := tlrecord.Encode(tlwire.LeaseReleased{Group: "g", Fence: s.release})
		assert.NoError(t, err)
		return d
	}
	d, err := tlrecord.Encode(tlwire.LeaseTaken{
		Group: "g", Instance: s.instance, Incarnation: s.incarnation, Renews: s.renews, Duration: 10 * time.Second,
	})
	assert.NoError(t, err)
	return d
}

func TestApply(t *testing.T) {
	cases := []struct {
		name     string
		first    uint64
		steps    []recordStep
		instance string
		fence    uint64
	}{
		{"1 first taker holds", 1, []recordStep{{instance: "a"}, {instance: "b"}}, "a", 1},
		{"2 takeover after it expired", 1, []recordStep{{instance: "a"}, {after: 11 * time.Second, instance: "b"}}, "b", 2},
		{"3 renewed in time", 1, []recordStep{{instance: "a"}, {after: 9 * time.Second, instance: "a", renews: 1}, {after: 9 * time.Second, instance: "b"}}, "a", 1},
		{"4 renewed too late", 1, []recordStep{{instance: "a"}, {after: 11 * time.Second, instance: "a", renews: 1}, {instance: "b"}}, "b", 3},
		{"5 a paused holder renews after another took it", 1, []recordStep{{instance: "a"}, {after: 11 * time.Second, instance: "b"}, {instance: "a", renews: 1}}, "b", 2},
		{"6 released", 1, []recordStep{{instance: "a"}, {release: 1}, {instance: "b"}}, "b", 3},
		{"7 release of an old lease", 1, []recordStep{{instance: "a"}, {after: 11 * time.Second, instance: "b"}, {release: 1}, {instance: "c"}}, "b", 2},
		{"8 restarted holder", 1, []recordStep{{instance: "a", incarnation: 1}, {instance: "a", incarnation: 2}}, "a", 2},
		{"9 late reader adopts a renewal", 50, []recordStep{{instance: "b"}, {instance: "a", renews: 7}, {instance: "b"}}, "a", 7},
		{"10 late reader prefers the higher fencing number", 50, []recordStep{{instance: "a", renews: 7}, {instance: "b", renews: 9}, {instance: "a", renews: 7}}, "b", 9},
		{"11 late reader grants nothing before it knows all leases", 50, []recordStep{{instance: "b"}}, "", 0},
		{"12 late reader grants after MaxDuration", 50, []recordStep{{instance: "b"}, {after: MaxDuration + 1, instance: "b"}}, "b", 51},
		{"13 another holder's lease can't be renewed", 1, []recordStep{{instance: "a"}, {instance: "b", renews: 1}}, "a", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable(c.first)
			now := start
			for i, s := range c.steps {
				now = now.Add(s.after)
				table.Apply(tlwire.LogRecord{Offset: c.first + uint64(i), Time: now, Data: s.data(t)})
			}
			l := table.Lease("g")
			assert.Equal(t, c.instance, l.Instance)
			assert.Equal(t, c.fence, l.Fence)
		})
	}
}
