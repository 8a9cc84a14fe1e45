package tlsweep

import (
	"time"

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
	gone       time.Time
	silent     time.Time
	asked      time.Time
	unanswered bool
	swept      bool
}

// update takes in how the attempt is listed at present.
func (a *attempt) update(now time.Time, i tlwire.StreamInfo, f Fate) {
	a.resumable = i.Stage == tlwire.StageDecoding
	a.hasReader = i.HasReader
	if a.hasReader || a.unread.IsZero() {
		a.unread = now
	}
	a.gone = since(a.gone, now, f == Gone)
	a.silent = since(a.silent, now, f != Live || a.unanswered)
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

// next returns when the attempt may have to be swept; zero is not at all.
func (a *attempt) next(l Limits) time.Time {
	var next time.Time
	for _, r := range rules {
		d, ok := r.due(a, l)
		if ok && (next.IsZero() || d.Before(next)) {
			next = d
		}
	}
	return next
}

// asks says whether the owner should be asked now; the fate of an owner whose
// connection is open needs no question.
func (a *attempt) asks(now time.Time, l Limits) bool {
	return !a.swept && !a.hasReader && a.gone.IsZero() &&
		now.Sub(a.unread) >= l.AskAfter && now.Sub(a.asked) >= l.askEvery(a)
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
		if !a.resumable {
			return a.gone, !a.gone.IsZero()
		}
		return a.gone.Add(l.Grace), !a.gone.IsZero()
	}},
	{OwnerSilent, func(a *attempt, l Limits) (time.Time, bool) {
		return a.silent.Add(l.Silent), !a.silent.IsZero() && !a.hasReader
	}},
	{OwnerPaused, func(a *attempt, l Limits) (time.Time, bool) {
		return a.silent.Add(l.Paused), !a.silent.IsZero()
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
