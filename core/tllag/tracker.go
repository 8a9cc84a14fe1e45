package tllag

import (
	"slices"
	"time"
)

const (
	// maxVersions bounds the versions that are remembered.
	maxVersions = 64
	// heardFor is how long after another instance last named a newer version that one counts
	// as there to be had.
	heardFor = time.Second
)

// named is a version and when it was first heard of.
type named struct {
	version uint64
	at      time.Time
}

// Tracker holds the versions that others name and that aren't in force here; its zero value
// is ready for use.
type Tracker struct {
	// ahead holds them in rising order.
	ahead []named
	heard time.Time
	own   uint64
}

// Heard records that another instance has a version in force.
func (t *Tracker) Heard(now time.Time, version uint64) {
	if version <= t.own {
		return
	}
	t.heard = now
	if n := len(t.ahead); n == 0 || n < maxVersions && version > t.ahead[n-1].version {
		t.ahead = append(t.ahead, named{version, now})
	}
}

// Reached records that a version is in force here.
func (t *Tracker) Reached(version uint64) {
	t.own = max(t.own, version)
	t.ahead = slices.DeleteFunc(t.ahead, func(k named) bool { return k.version <= t.own })
}

// Behind returns for how long a newer version than the one in force here has been known; 0
// if none is, or nobody has named one lately.
func (t *Tracker) Behind(now time.Time) time.Duration {
	if len(t.ahead) == 0 || now.Sub(t.heard) > heardFor {
		return 0
	}
	return now.Sub(t.ahead[0].at)
}
