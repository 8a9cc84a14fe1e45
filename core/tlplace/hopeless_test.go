package tlplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// overload plays arrivals on twenty decode engines with room for two requests each,
// which serve ten requests a second, and returns what became of the callers.
type overload struct {
	onTime, late int
	// refusedAfter holds how long each refused request waited.
	refusedAfter []time.Duration
	retryAfter   []time.Duration
}

// playOverload plays load times the rate that the engines can serve, for so long, and
// burst more requests at once after half of the time.
func playOverload(load float64, length time.Duration, burst int) overload {
	b := newBook(20, 20)
	var o overload
	ends := map[time.Duration][]string{}
	placed := 0
	arrivals := map[string]time.Duration{}
	handle := func(now time.Duration, list []Decision) {
		for _, d := range list {
			if d.Refused != NotRefused {
				o.refusedAfter = append(o.refusedAfter, d.Waited)
				o.retryAfter = append(o.retryAfter, d.RetryAfter)
				continue
			}
			b.read(at(now), d.Request)
			// One to seven seconds, four on average.
			end := now + time.Duration(1+placed*3%7)*time.Second
			placed++
			ends[end] = append(ends[end], d.Request)
			if now-arrivals[d.Request] <= 900*time.Millisecond {
				o.onTime++
			} else {
				o.late++
			}
		}
	}
	interval := time.Duration(float64(100*time.Millisecond) / load)
	next := time.Duration(0)
	for now := time.Duration(0); now < length; now += 10 * time.Millisecond {
		for _, id := range ends[now] {
			b.Served(at(now), id)
			handle(now, b.Tick(at(now)))
		}
		for ; next <= now; next += interval {
			r := request(fmt.Sprint(next), 4000, now)
			arrivals[r.ID] = now
			handle(now, b.Submit(at(now), r))
		}
		for n := 0; now == length/2 && n < burst; n++ {
			r := request(fmt.Sprint("burst", n), 4000, now)
			arrivals[r.ID] = now
			handle(now, b.Submit(at(now), r))
		}
		handle(now, b.Tick(at(now)))
	}
	return o
}

// With twice the load that the engines can serve, those who can't be served are told
// so when they can't be on time any more, not when their callers are about to give up
// (3.6 s), and the engines serve as many on time as they can.
func TestOverloadRefusesEarlyWhoCannotBeServed(t *testing.T) {
	o := playOverload(2, 30*time.Second, 0)
	assert.Greater(t, o.onTime, 9*30*9/10, "ten a second from when the engines are full")
	assert.Less(t, o.late, o.onTime/10)
	early := 0
	for n, d := range o.refusedAfter {
		if d <= 1200*time.Millisecond {
			early++
		}
		assert.GreaterOrEqual(t, o.retryAfter[n], minRetryAfter)
	}
	assert.Greater(t, early, len(o.refusedAfter)*9/10)
}

// Below what the engines can serve, nobody is refused.
func TestNobodyIsRefusedBelowCapacity(t *testing.T) {
	assert.Empty(t, playOverload(0.9, 30*time.Second, 0).refusedAfter)
}

// A burst of five more than there is room for is served late rather than refused.
func TestShortBurstIsServedLate(t *testing.T) {
	o := playOverload(0.5, 30*time.Second, 25)
	assert.Empty(t, o.refusedAfter)
	assert.Positive(t, o.late)
}
