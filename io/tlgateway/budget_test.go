package tlgateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestRetriesInAnyWindowStayWithinAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 4
		a := RetryAllowance{Share: 0.2, Burst: 40, Window: 10 * time.Second}
		now := time.Unix(1000, 0)
		b := NewRetryBudget(a, func() int { return instances }, func() time.Time { return now })
		type event struct {
			at    time.Time
			fresh bool
		}
		var events []event
		for range rapid.IntRange(1, 300).Draw(t, "n") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "fresh") {
				b.Earn("s")
				events = append(events, event{now, true})
			} else if b.Spend("s", 1) {
				events = append(events, event{now, false})
			}
		}
		for i, first := range events {
			// Requests of the preceding window count too: what they earned may be saved up, as half of the burst may.
			spent, earned := 0, 0
			for _, e := range events {
				d := e.at.Sub(first.at)
				if e.fresh && d > -a.Window && d <= a.Window {
					earned++
				}
				if !e.fresh && d >= 0 && d <= a.Window {
					spent++
				}
			}
			assert.LessOrEqual(t, float64(spent), a.Burst/instances+a.Share*float64(earned)+1, i)
		}
	})
}

func TestRetryBudgetStartsEmptyAndRefills(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewRetryBudget(RetryAllowance{Burst: 8, Window: 10 * time.Second}, func() int { return 2 }, func() time.Time { return now })
	b.AddService("s")
	assert.False(t, b.Spend("s", 1))
	now = now.Add(10 * time.Second)
	assert.True(t, b.Spend("s", 2))
	assert.False(t, b.Spend("s", 1))
}
