package tlplace

import (
	"time"

	"trefoillanding/core/tlshare"
)

const (
	// stallWeight is the weight of a new answer in a share of stalled ones.
	stallWeight = 0.25
	// stallingShare is the share from which the ways between data centres count as
	// stalling: two stalled answers in a row, since one may be chance.
	stallingShare = 0.3
	// stallingRatio is how many times the share within data centres it has to be
	// besides: under load, answers pause everywhere.
	stallingRatio = 2
	// stallMemory is how long after the last stalled answer those ways are tried again.
	stallMemory = 8 * time.Second
)

// way has the average share of answers that pause, for those between data
// centres or for those within one.
type way struct {
	stalled tlshare.Share
	// last is when an answer paused.
	last time.Time
}

// stall notes an answer that paused for long.
func (w *way) stall(now time.Time) {
	if now.Sub(w.last) > stallMemory {
		w.stalled = 0
	}
	w.stalled.AddHit(stallWeight)
	w.last = now
}

// pass notes an answer that came without a pause.
func (w *way) pass() {
	w.stalled.AddMiss(stallWeight)
}

// ways are the ways of answers from engines to owners.
type ways struct {
	between, within way
}

// of returns the way of an answer from one data centre to another.
func (w *ways) of(from, to string) *way {
	if from == to {
		return &w.within
	}
	return &w.between
}

// isStalling says whether answers pause between data centres, and not everywhere.
func (w *ways) isStalling(now time.Time) bool {
	b := w.between
	return b.stalled > stallingShare && b.stalled > stallingRatio*w.within.stalled && now.Sub(b.last) <= stallMemory
}
