package tlqueue

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func item(o string, latest time.Duration) *Item[int] {
	return &Item[int]{Organisation: o, Arrived: epoch, StartDeadline: epoch.Add(latest), Rank: epoch.Add(latest), Cost: Cost{Decode: 0.01}}
}

func TestFloodOfOneOrganisationDoesNotDelayOthers(t *testing.T) {
	q := New[int](nil, 0.03)
	for range 100 {
		q.Push(epoch, item("flood", time.Second))
	}
	for range 10 {
		q.Push(epoch, item("small", time.Second))
	}
	got := map[string]int{}
	for range 20 {
		i := q.Pop(false)
		got[i.Organisation]++
		q.Charge(i.Organisation, false, i.Cost)
	}
	assert.GreaterOrEqual(t, got["small"], 9)
}

func TestSharesFollowWeights(t *testing.T) {
	q := New[int](map[string]float64{"a": 3}, 0)
	got := map[string]int{}
	for range 400 {
		for _, o := range []string{"a", "b"} {
			if c, _ := q.Backlog(o); c.Decode < 0.05 {
				q.Push(epoch, item(o, time.Second))
			}
		}
		i := q.Pop(false)
		got[i.Organisation]++
		q.Charge(i.Organisation, false, i.Cost)
	}
	assert.InDelta(t, 300, got["a"], 30)
}

func TestOnTimeLaneOrdersByRankAndLateLaneByArrival(t *testing.T) {
	q := New[int](nil, 0)
	for n, d := range []time.Duration{30, 10, 20} {
		i := item("a", d*time.Millisecond)
		i.Value, i.Arrived = int(d), epoch.Add(time.Duration(-n))
		q.Push(epoch, i)
	}
	i := q.Pop(false)
	assert.Equal(t, 10, i.Value)
	q.Return(i)
	now := epoch.Add(25 * time.Millisecond)
	for i := q.PopOverdue(now); i != nil; i = q.PopOverdue(now) {
		q.Return(i)
	}
	assert.Equal(t, 2, q.Len(true))
	assert.Equal(t, 20, q.Pop(true).Value)
	assert.Equal(t, 10, q.Pop(true).Value)
	assert.Equal(t, 30, q.Pop(false).Value)
}

func TestQueueKeepsEveryItemOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](map[string]float64{"o1": 2}, 0.1)
		now := epoch
		in := map[*Item[int]]bool{}
		var out, all []*Item[int]
		take := func(i *Item[int]) {
			if i != nil {
				assert.True(t, in[i])
				delete(in, i)
				out = append(out, i)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				i := item("o"+strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "o")), 0)
				i.StartDeadline = now.Add(time.Duration(rapid.IntRange(-50, 50).Draw(t, "slack")))
				i.Rank = i.StartDeadline
				q.Push(now, i)
				in[i] = true
				all = append(all, i)
			},
			"pop":     func(t *rapid.T) { take(q.Pop(rapid.Bool().Draw(t, "late"))) },
			"older":   func(*rapid.T) { take(q.PopLateArrivedBefore(epoch.Add(1))) },
			"overdue": func(*rapid.T) { take(q.PopOverdue(now)) },
			"return": func(*rapid.T) {
				if len(out) > 0 {
					q.Return(out[0])
					in[out[0]] = true
					out = out[1:]
				}
			},
			"remove": func(t *rapid.T) {
				if len(all) == 0 {
					return
				}
				i := rapid.SampledFrom(all).Draw(t, "item")
				q.Remove(i)
				q.Remove(i)
				delete(in, i)
			},
			"charge": func(t *rapid.T) {
				q.Charge("o"+strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "o")), rapid.Bool().Draw(t, "late"), Cost{Prefill: 0.1})
			},
			"wait": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "wait"))) },
			"": func(t *rapid.T) {
				assert.Equal(t, len(in), q.Len(false)+q.Len(true))
				assert.Equal(t, q.Len(false), q.startDeadlines.len())
				assert.Equal(t, q.Len(true), q.lateArrivals.len())
				sum := 0
				for _, f := range q.flows {
					sum += f.lanes[0].items.len() + f.lanes[1].items.len()
				}
				assert.Equal(t, len(in), sum)
			},
		})
	})
}

// BenchmarkQueue starts and replaces one item while 10,000 items of 400 organisations wait.
func BenchmarkQueue(b *testing.B) {
	q := New[int](nil, 0.01)
	for n := range 10000 {
		q.Push(epoch, item("o"+strconv.Itoa(n%400), time.Duration(n)))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		i := q.Pop(false)
		q.Charge(i.Organisation, false, i.Cost)
		q.Push(epoch, i)
	}
}
