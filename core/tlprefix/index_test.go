package tlprefix

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlwire"
)

func events(first uint64, oldest uint64, e ...tlwire.CacheEvent) tlwire.CacheEvents {
	for i := range e {
		e[i].Sequence = first + uint64(i)
	}
	return tlwire.CacheEvents{Oldest: oldest, Next: first + uint64(len(e)), Events: e}
}

func cached(b uint64) tlwire.CacheEvent  { return tlwire.CacheEvent{Block: b} }
func evicted(b uint64) tlwire.CacheEvent { return tlwire.CacheEvent{Block: b, Evicted: true} }

func TestMatch(t *testing.T) {
	cases := []struct {
		name   string
		events []tlwire.CacheEvents
		blocks []uint64
		want   float64
	}{
		{"no events", nil, []uint64{1, 2}, 0},
		{"leading blocks only", []tlwire.CacheEvents{events(1, 1, cached(1), cached(2), cached(4))}, []uint64{1, 2, 3, 4}, 2},
		{"evicted", []tlwire.CacheEvents{events(1, 1, cached(1), cached(2), evicted(2))}, []uint64{1, 2}, 1},
		{"duplicate events", []tlwire.CacheEvents{events(1, 1, cached(1), evicted(1)), events(1, 1, cached(1), evicted(1))}, []uint64{1}, 0},
		{"gap", []tlwire.CacheEvents{events(1, 1, cached(1), cached(2)), events(9, 9)}, []uint64{1, 2}, 1},
		{"seen again after a gap", []tlwire.CacheEvents{events(1, 1, cached(1)), events(9, 9, cached(7)), events(10, 9, cached(1))}, []uint64{1}, 1},
		{"restarted engine", []tlwire.CacheEvents{events(5, 1, cached(1)), events(1, 1, cached(2))}, []uint64{1}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := New(2)
			now := time.Unix(0, 0)
			for _, e := range c.events {
				now = now.Add(time.Second)
				i.Apply(now, 1, e)
			}
			assert.Equal(t, []float64{0, c.want}, i.Match(c.blocks))
		})
	}
}

func TestMatchFollowsObservedHits(t *testing.T) {
	i := New(1)
	i.RecordPrefill(time.Unix(1, 0), 0, []uint64{1, 2, 3, 4})
	for range 50 {
		i.ObserveHits(0, 4, 1)
	}
	assert.InDelta(t, 1, i.Match([]uint64{1, 2, 3, 4})[0], 0.1)
}
