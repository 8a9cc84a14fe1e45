package tlplace

import (
	"time"

	"trefoillanding/core/tlshare"
)

const (
	// stallWeight is the weight of a new answer in the share of stalled ones.
	stallWeight = 0.25
	// minStallingShare is the share of stalled answers above which routes between data
	// centres count as stalling. Two in a row exceed it, since a single one may be chance.
	minStallingShare = 0.3
	// minStallingRatio is the ratio of that share to the share within data centres that
	// also has to be exceeded: under load, answers pause everywhere.
	minStallingRatio = 2
	// stallExpiry is how long after the last stalled answer routes between data centres are used again.
	stallExpiry = 8 * time.Second
)

// stallStats holds the moving average share of answers that stalled, either between
// data centres or within one.
type stallStats struct {
	stalled tlshare.Share
	// lastStall is when an answer last stalled.
	lastStall time.Time
}

// recordStall counts a stalled answer; it first resets the share if the last stall has expired.
func (w *stallStats) recordStall(now time.Time) {
	if now.Sub(w.lastStall) > stallExpiry {
		w.stalled = 0
	}
	w.stalled.AddHit(stallWeight)
	w.lastStall = now
}

// recordNoStall counts an answer that did not stall.
func (w *stallStats) recordNoStall() {
	w.stalled.AddMiss(stallWeight)
}

// stallTracker holds the stall statistics of answers from engines to owners.
type stallTracker struct {
	between, within stallStats
}

// forRoute returns the statistics for answers from one data centre to another.
func (w *stallTracker) forRoute(from, to string) *stallStats {
	if from == to {
		return &w.within
	}
	return &w.between
}

// isStalling reports whether answers stall between data centres, and not everywhere.
func (w *stallTracker) isStalling(now time.Time) bool {
	b := w.between
	return b.stalled > minStallingShare && b.stalled > minStallingRatio*w.within.stalled && now.Sub(b.lastStall) <= stallExpiry
}
