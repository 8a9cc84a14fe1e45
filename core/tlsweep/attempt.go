package tlsweep

import (
	"time"

	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlwire"
)

// Owner is one life of an instance that serves a caller.
type Owner struct {
	Name        string
	Incarnation uint64
}

// attempt is what is remembered of one attempt at one engine.
type attempt struct {
	owner      Owner
	resumable  bool
	hasReader  bool
	unread     time.Time
	wasRead    bool
	gone       time.Time
	silent     time.Time
	disowned   time.Time
	asked      time.Time
	unanswered bool
	swept      bool
}

// update takes in how the attempt is listed at present.
func (a *attempt) update(now time.Time, i tlwire.StreamInfo, f tlmember.Liveness) {
	a.resumable = i.Stage == tlwire.StageDecoding
	a.hasReader = i.HasReader || i.Stage == tlwire.StageHeld
	a.wasRead = a.wasRead || a.hasReader
	if a.hasReader || a.unread.IsZero() {
		a.unread = now
	}
	a.gone = since(a.gone, now, f == tlmember.Gone)
	a.silent = since(a.silent, now, f != tlmember.Alive || a.unanswered)
}

// verdict says whether the attempt is to be swept now, and why.
func (a *attempt) verdict(now time.Time, l Limits) (Reason, bool) {
	for _, r := range rules {
		d, ok := r.due(a, l)
		if ok && !now.Before(d) {
			return r.reason, true
		}
	}
	return "", false
}

// sweep appends a cancel to a list when the attempt is to be swept now.
func (a *attempt) sweep(list []Cancel, now time.Time, l Limits, engine, name string) []Cancel {
	r, due := a.verdict(now, l)
	if !due {
		return list
	}
	list = append(list, Cancel{engine, name, a.owner, r, a.swept})
	a.swept = true
	return list
}

// next returns when the attempt may have to be swept, or its owner asked; zero
// is not at all.
func (a *attempt) next(l Limits) time.Time {
	next, _ := a.askAt(l)
	for _, r := range rules {
		d, ok := r.due(a, l)
		if ok && (next.IsZero() || d.Before(next)) {
			next = d
		}
	}
	return next
}

// askAt returns when the owner is to be asked. One whose connection is open
// needs no question; one that has just let go of it is asked at once.
func (a *attempt) askAt(l Limits) (time.Time, bool) {
	if a.swept || a.hasReader || !a.gone.IsZero() || !a.disowned.IsZero() {
		return time.Time{}, false
	}
	at := a.unread
	if !a.wasRead {
		at = at.Add(l.AskAfter)
	}
	if again := a.asked.Add(l.askEvery(a)); !a.asked.IsZero() && again.After(at) {
		at = again
	}
	return at, true
}

// grace returns how long the attempt waits for another instance to resume it.
func (a *attempt) grace(l Limits) time.Duration {
	if a.resumable {
		return l.Grace
	}
	return 0
}

// askEvery returns how soon an owner that did not answer is asked again.
func (l Limits) askEvery(a *attempt) time.Duration {
	if a.unanswered {
		return l.AskAfter
	}
	return l.AskEvery
}

// rule says when an attempt is swept for one reason.
type rule struct {
	reason Reason
	due    func(a *attempt, l Limits) (time.Time, bool)
}

// rules are tried in this order.
var rules = []rule{
	{OwnerGone, func(a *attempt, l Limits) (time.Time, bool) {
		return a.gone.Add(a.grace(l)), !a.gone.IsZero()
	}},
	{Disowned, func(a *attempt, l Limits) (time.Time, bool) {
		return a.disowned.Add(a.grace(l)), !a.disowned.IsZero()
	}},
	{OwnerSilent, func(a *attempt, l Limits) (time.Time, bool) {
		return a.silent.Add(l.SilentTimeout), !a.silent.IsZero() && !a.hasReader
	}},
	{OwnerPaused, func(a *attempt, l Limits) (time.Time, bool) {
		return a.silent.Add(l.PausedTimeout), !a.silent.IsZero()
	}},
}

// since keeps the time at which a state began, or forgets it when it has ended.
func since(began, now time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case began.IsZero():
		return now
	default:
		return began
	}
}
