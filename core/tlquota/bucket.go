package tlquota

import "time"

const (
	// maxBuckets bounds the organisations with a bucket; the one that was asked for longest ago yields.
	maxBuckets = 10_000
	// maxWait bounds the time to return of a refused request: callers give up after some
	// seconds in all.
	maxWait = 4 * time.Second
)

// Limit is the quota of an organisation in a version of the configuration.
type Limit struct {
	// Rate is the allowance a second, and Burst what may be sent at once beyond it.
	Rate, Burst float64
	// Slack is what may be sent at once beyond Burst by an organisation that has stayed
	// below its quota for long; a new bucket has none of it.
	Slack float64
	// Most is what may be granted in any window; 0 stands for all that Rate, Burst and Slack
	// allow in one.
	Most float64
	// Version is the version of the configuration; the newest counts.
	Version uint64
}

// inWindow returns what may be granted in any window of a length.
func (l Limit) inWindow(window time.Duration) float64 {
	if l.Most > 0 {
		return l.Most
	}
	return l.Rate*window.Seconds() + l.Burst + l.Slack
}

// Grant is the answer to a request.
type Grant struct {
	// IsGranted says that the request is within the quota.
	IsGranted bool
	// Wait is the time until the request is expected to be within it.
	Wait time.Duration
	// Level is what may be sent at once after the request; below 0 it is overdrawn.
	Level float64
	// IsNew says that the bucket began, or began anew, with the request.
	IsNew bool
}

// bucket is the token bucket of one organisation.
type bucket struct {
	limit Limit
	level float64
	// granted is the cost of all requests granted.
	granted float64
	// promised is the cost of refused requests that were told to return, as of filled. It
	// spreads those that follow, and is worked off at the limit's rate.
	promised float64
	// recent has what was granted in the last window, by whomever, as far as it is known.
	recent recent
	// untold estimates what was granted in that window to the requests of instances that are
	// out of touch, or have started again since.
	untold recent
	// began is when the bucket began, or began anew since another instance had been the home.
	began  time.Time
	filled time.Time
	asked  time.Time
}

// fill adds the allowance since the last call, of which share is this bucket's part.
func (b *bucket) fill(now time.Time, share float64) {
	added := b.limit.Rate * share * max(now.Sub(b.filled).Seconds(), 0)
	b.filled = now
	b.level = min(b.level+added, (b.limit.Burst+b.limit.Slack)*share)
	b.promised = max(b.promised-added, 0)
}

// setLimit puts a limit in force. What was granted under a higher one counts as the same
// part of the new one: else nothing would be granted until a window has passed.
func (b *bucket) setLimit(l Limit) {
	before, isNewer := b.inWindow(), l.Version > b.limit.Version
	b.limit = l
	if after := b.inWindow(); isNewer && after < before {
		b.recent.scale(after / before)
		b.untold.scale(after / before)
	}
}

// inWindow returns what may be granted in any window.
func (b *bucket) inWindow() float64 {
	return b.limit.inWindow(b.recent.window())
}

// note counts a cost granted at a time, of which a part of all instances know: the others
// are taken to have been granted as much each.
func (b *bucket) note(now, at time.Time, cost, knowing float64) {
	b.recent.add(now, at, cost)
	b.untold.add(now, at, cost*(1/knowing-1))
}

// take charges a cost if the level reaches it, or its part of the burst, and the window has
// room for it; share is this bucket's part of the limit. What was granted to instances that
// don't know of it takes no more than their part of the window.
func (b *bucket) take(now time.Time, cost, share float64, knowing func(at time.Time) float64) Grant {
	need := min(cost, b.limit.Burst*share)
	most := b.inWindow()
	untold, _ := b.untold.sum(now, most)
	most -= min(untold, (1-knowing(now.Add(-b.recent.window())))*most)
	sum, wait := b.recent.sum(now, most-min(cost, most))
	if b.level >= need && wait == 0 {
		b.level -= cost
		b.granted += cost
		b.note(now, now, cost, knowing(now))
		return Grant{IsGranted: true, Level: min(b.level, most-sum-cost)}
	}
	rate := b.limit.Rate * share
	wait = min(max(wait, seconds((need-b.level+b.promised)/rate)), maxWait)
	if wait < maxWait {
		b.promised += cost
	}
	return Grant{Wait: wait, Level: b.level}
}

func seconds(s float64) time.Duration {
	if !(s < maxWait.Seconds()) {
		return maxWait
	}
	return time.Duration(s * float64(time.Second))
}

// byOrganisation returns a figure of each organisation.
func byOrganisation[T any](m map[string]T, figure func(T) float64) map[string]float64 {
	figures := make(map[string]float64, len(m))
	for name, v := range m {
		figures[name] = figure(v)
	}
	return figures
}

// dropLongestUnasked makes room for one more organisation where there are maxBuckets.
func dropLongestUnasked[T any](m map[string]T, asked func(T) time.Time) {
	if len(m) < maxBuckets {
		return
	}
	oldest := ""
	for name, b := range m {
		if oldest == "" || asked(b).Before(asked(m[oldest])) {
			oldest = name
		}
	}
	delete(m, oldest)
}
