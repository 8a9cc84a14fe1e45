package tlsweep

import (
	"time"

	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlwire"
)

// Owner is one incarnation of an instance that serves a caller.
type Owner struct {
	Name        string
	Incarnation uint64
}

// attempt is the state kept for one attempt in one engine; a zero time means that
// the state does not hold or the event has not happened.
type attempt struct {
	owner            Owner
	resumable        bool
	hasReader        bool
	unreadSince      time.Time
	hadReader        bool
	goneSince        time.Time
	unreachableSince time.Time
	disownedSince    time.Time
	askedAt          time.Time
	unanswered       bool
	cancelled        bool
}

// update applies the engine's current entry for the attempt and its owner's liveness.
func (a *attempt) update(now time.Time, i tlwire.StreamInfo, f tlmember.Liveness) {
	a.resumable = i.Stage == tlwire.StageDecoding
	a.hasReader = i.HasReader || i.Stage == tlwire.StageHeld
	a.hadReader = a.hadReader || a.hasReader
	if a.hasReader || a.unreadSince.IsZero() {
		a.unreadSince = now
	}
	a.goneSince = stateStart(a.goneSince, now, f == tlmember.Gone)
	a.unreachableSince = stateStart(a.unreachableSince, now, f != tlmember.Alive || a.unanswered)
}

// dueReason says whether the attempt is to be cancelled now, and why.
func (a *attempt) dueReason(now time.Time, l Limits) (Reason, bool) {
	for _, r := range rules {
		d, ok := r.dueAt(a, l)
		if ok && !now.Before(d) {
			return r.reason, true
		}
	}
	return "", false
}

// appendCancel appends a cancel to a list when the attempt is to be cancelled now.
func (a *attempt) appendCancel(list []Cancel, now time.Time, l Limits, engine, name string) []Cancel {
	r, due := a.dueReason(now, l)
	if !due {
		return list
	}
	list = append(list, Cancel{engine, name, a.owner, r, a.cancelled})
	a.cancelled = true
	return list
}

// nextCheck returns the earliest time at which the attempt may have to be
// cancelled or its owner asked, or zero if there is none.
func (a *attempt) nextCheck(l Limits) time.Time {
	next, _ := a.askAt(l)
	for _, r := range rules {
		d, ok := r.dueAt(a, l)
		if ok && (next.IsZero() || d.Before(next)) {
			next = d
		}
	}
	return next
}

// askAt returns when the owner is to be asked whether it still serves the attempt.
// An owner whose connection is open is not asked; one that has just closed its
// connection is asked at once.
func (a *attempt) askAt(l Limits) (time.Time, bool) {
	if a.cancelled || a.hasReader || !a.goneSince.IsZero() || !a.disownedSince.IsZero() {
		return time.Time{}, false
	}
	at := a.unreadSince
	if !a.hadReader {
		at = at.Add(l.AskAfter)
	}
	if again := a.askedAt.Add(l.askInterval(a)); !a.askedAt.IsZero() && again.After(at) {
		at = again
	}
	return at, true
}

// grace returns how long the attempt waits for another instance to resume it; an
// attempt that can't be resumed does not wait.
func (a *attempt) grace(l Limits) time.Duration {
	if a.resumable {
		return l.Grace
	}
	return 0
}

// askInterval returns the time until the owner is asked again, which is shorter
// after a question without an answer.
func (l Limits) askInterval(a *attempt) time.Duration {
	if a.unanswered {
		return l.AskAfter
	}
	return l.AskEvery
}

// rule says when an attempt is cancelled for one reason.
type rule struct {
	reason Reason
	dueAt  func(a *attempt, l Limits) (time.Time, bool)
}

// rules are tried in this order; the first that is due gives the reason.
var rules = []rule{
	{OwnerGone, func(a *attempt, l Limits) (time.Time, bool) {
		return a.goneSince.Add(a.grace(l)), !a.goneSince.IsZero()
	}},
	{Disowned, func(a *attempt, l Limits) (time.Time, bool) {
		return a.disownedSince.Add(a.grace(l)), !a.disownedSince.IsZero()
	}},
	{OwnerSilent, func(a *attempt, l Limits) (time.Time, bool) {
		return a.unreachableSince.Add(l.SilentTimeout), !a.unreachableSince.IsZero() && !a.hasReader
	}},
	{OwnerPaused, func(a *attempt, l Limits) (time.Time, bool) {
		return a.unreachableSince.Add(l.PausedTimeout), !a.unreachableSince.IsZero()
	}},
}

// stateStart returns the time at which a state began: began if it is set, else now,
// and zero when the state does not hold.
func stateStart(began, now time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case began.IsZero():
		return now
	default:
		return began
	}
}
