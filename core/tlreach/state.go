package tlreach

import "time"

const (
	// minFailed is the number of endpoints that must not be reached before the instance,
	// rather than its endpoints, is taken for cut off.
	minFailed = 2
	// loneFailedFor is how long the only endpoint there is must not be reached instead: a
	// sound one may be silent for a second or so.
	loneFailedFor = 2 * time.Second
)

// FirstRound and MaxRound are the numbers of endpoints that are dialled at once, and in
// all, in one round: some may be down together, while one that answers settles it.
const (
	FirstRound = 2
	MaxRound   = 8
)

// State is what rounds of dials have shown. It is not safe for concurrent use.
type State struct {
	isCut bool
	// failedSince is when the first round began that reached no endpoint since one did;
	// zero if there is none.
	failedSince time.Time
	// changedAt is when isCut changed last.
	changedAt time.Time
}

// Round takes in a round of dials that began at a time: how many endpoints were tried, and
// whether any was reached. It reports whether the instance is cut off now, or no more, other than before.
func (s *State) Round(began, now time.Time, tried int, reached bool) (isChange bool) {
	if tried == 0 {
		return false
	}
	if reached {
		s.failedSince = time.Time{}
		return s.set(now, false)
	}
	if s.failedSince.IsZero() {
		s.failedSince = began
	}
	if tried < minFailed && now.Sub(s.failedSince) < loneFailedFor {
		return false
	}
	return s.set(now, true)
}

func (s *State) set(now time.Time, isCut bool) bool {
	if s.isCut == isCut {
		return false
	}
	s.isCut, s.changedAt = isCut, now
	return true
}

// IsCut reports whether the instance is cut off from all endpoints.
func (s *State) IsCut() bool {
	return s.isCut
}

// ChangedAt returns when the instance was last cut off, or reached endpoints again; zero if never.
func (s *State) ChangedAt() time.Time {
	return s.changedAt
}
