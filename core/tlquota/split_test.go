package tlquota

import "time"

const (
	// simNoticesEnd is the silence after which an instance is taken for gone, and
	// simNoticesReturn the time until its return is known, before each instance's own delay.
	simNoticesEnd    = 900 * time.Millisecond
	simNoticesReturn = 200 * time.Millisecond
)

// split is a time in which some instances, few of each eleven, are out of touch with the rest.
type split struct {
	from, to time.Time
	few      int
}

// parts reports whether two instances lie on different sides.
func (s split) parts(a, b int) bool {
	return (a%11 < s.few) != (b%11 < s.few)
}

func (f *simFleet) split(now time.Time, few int, d time.Duration) {
	f.splits = append(f.splits, split{now, now.Add(d), few})
}

// isCut reports whether two instances are out of touch.
func (f *simFleet) isCut(now time.Time, a, b int) bool {
	for _, s := range f.splits {
		if s.parts(a, b) && !now.Before(s.from) && now.Before(s.to) {
			return true
		}
	}
	return false
}

// delay is how long an instance takes to notice what has become of another.
func (f *simFleet) delay(k, other int) time.Duration {
	return f.noticing[k][other%simCandidates]
}

// isNoticed reports whether an instance holds another for gone that answers it nothing for a time.
func (f *simFleet) isNoticed(now time.Time, k, other int, from, to time.Time) bool {
	d := f.delay(k, other)
	return !now.Before(from.Add(simNoticesEnd+d)) && now.Before(to.Add(simNoticesReturn+d))
}

// isHeldForCut reports whether an instance holds another for gone since a split parts them.
func (f *simFleet) isHeldForCut(now time.Time, k, other int) bool {
	for _, s := range f.splits {
		if s.parts(k, other) && f.isNoticed(now, k, other, s.from, s.to) {
			return true
		}
	}
	return false
}

// checkFleet has a home look at who lives, some times a second.
func (f *simFleet) checkFleet(now time.Time, home int) {
	if now.Sub(f.checked[home]) < 100*time.Millisecond {
		return
	}
	f.checked[home] = now
	f.ledgers[home].SetFleet(now, f.inTouch(now, home), simInstances, f.restarts(now, home)...)
}

// restarts returns when instances have started again, as one knows of it.
func (f *simFleet) restarts(now time.Time, k int) []time.Time {
	var list []time.Time
	for other := range simInstances {
		at := f.deadUntil[other].Add(simNoticesReturn + f.delay(k, other))
		if other != k && !f.deadUntil[other].IsZero() && !at.After(now) && now.Sub(at) < window {
			list = append(list, at)
		}
	}
	return list
}

// inTouch returns how many instances one holds for live, itself included.
func (f *simFleet) inTouch(now time.Time, k int) int {
	n := 0
	for other := range simInstances {
		isDead := !f.deadUntil[other].IsZero() && f.isNoticed(now, k, other, f.deadFrom[other], f.deadUntil[other])
		if other == k || !isDead && !f.isHeldForCut(now, k, other) {
			n++
		}
	}
	return n
}
