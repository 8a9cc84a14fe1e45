package tlquota

import "time"

// recentSlots is the number of slots in which a window is counted.
const recentSlots = 32

// recent sums up what was granted in the last window, in slots of equal length.
type recent struct {
	slot time.Duration
	// newest is the number of the newest slot since the epoch; costs has a slot n at n modulo its length.
	newest int64
	costs  [recentSlots + 1]float64
}

func newRecent(window time.Duration) recent {
	return recent{slot: max(window/recentSlots, 1)}
}

// window returns the length of the window.
func (r *recent) window() time.Duration {
	return recentSlots * r.slot
}

func (r *recent) number(at time.Time) int64 {
	return at.UnixNano() / int64(r.slot)
}

func (r *recent) at(n int64) *float64 {
	return &r.costs[n%int64(len(r.costs))]
}

// advance drops the slots that are older than a window at a time.
func (r *recent) advance(now time.Time) {
	n := r.number(now)
	if n-r.newest > int64(len(r.costs)) {
		r.newest = n - int64(len(r.costs))
	}
	for r.newest < n {
		r.newest++
		*r.at(r.newest) = 0
	}
}

// add counts a cost granted at a time, which may lie in the past.
func (r *recent) add(now, at time.Time, cost float64) {
	r.advance(now)
	if n := r.number(at); n > r.newest-int64(len(r.costs)) && n <= r.newest {
		*r.at(n) += cost
	}
}

// remove takes off a cost that was granted lately and has not run.
func (r *recent) remove(cost float64) {
	for n := r.newest; cost > 0 && n > r.newest-int64(len(r.costs)); n-- {
		c := r.at(n)
		taken := min(*c, cost)
		*c -= taken
		cost -= taken
	}
}

// scale multiplies all that was granted.
func (r *recent) scale(factor float64) {
	for n := range r.costs {
		r.costs[n] *= factor
	}
}

// sum returns what was granted in the last window, and the time until that is no more than
// allowed; 0 if it is no more now.
func (r *recent) sum(now time.Time, allowed float64) (sum float64, wait time.Duration) {
	r.advance(now)
	into := now.UnixNano() % int64(r.slot)
	oldest := r.newest - int64(recentSlots)
	for n := oldest; n <= r.newest; n++ {
		sum += *r.at(n)
	}
	// The window begins within the oldest slot.
	sum -= *r.at(oldest) * float64(into) / float64(r.slot)
	left := sum - allowed
	for n := oldest; left > 0 && n <= r.newest; n++ {
		left -= *r.at(n)
		wait = time.Duration(n-oldest+1)*r.slot - time.Duration(into)
	}
	return sum, wait
}
