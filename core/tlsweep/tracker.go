package tlsweep

import (
	"cmp"
	"slices"
	"time"

	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlwire"
)

// Cancel asks for an attempt to be cancelled if it still has the same owner.
type Cancel struct {
	Engine  string
	Attempt string
	Owner   Owner
	Reason  Reason
	// IsRepeat says that the cancel was returned before.
	IsRepeat bool
}

// Question asks an owner which of its attempts in an engine it still serves.
type Question struct {
	Engine   string
	Owner    Owner
	Attempts []string
}

// Tracker tracks the attempts in the engines of a home instance's pools; it is
// not safe for concurrent use.
type Tracker struct {
	limits  Limits
	engines map[string]map[string]*attempt
}

// New returns a tracker without attempts.
func New(l Limits) *Tracker {
	return &Tracker{limits: l, engines: map[string]map[string]*attempt{}}
}

// Observe applies an engine's list of attempts and returns those to cancel there.
// A cancelled attempt is returned again as long as the engine lists it.
func (t *Tracker) Observe(now time.Time, engine string, list []tlwire.StreamInfo, liveness func(Owner) tlmember.Liveness) []Cancel {
	before := t.engines[engine]
	after := make(map[string]*attempt, len(list))
	var cancels []Cancel
	for _, i := range unfinished(list) {
		o := Owner{i.Owner, i.Incarnation}
		a := before[i.Attempt]
		if a == nil || a.owner != o {
			a = &attempt{owner: o}
		}
		a.update(now, i, liveness(o))
		after[i.Attempt] = a
		cancels = a.appendCancel(cancels, now, t.limits, engine, i.Attempt)
	}
	t.engines[engine] = after
	return cancels
}

// Questions returns the questions to send to owners now, and records them as sent.
func (t *Tracker) Questions(now time.Time, engine string) []Question {
	asked := map[Owner][]string{}
	for name, a := range t.engines[engine] {
		at, asks := a.askAt(t.limits)
		if asks && !now.Before(at) {
			a.askedAt = now
			asked[a.owner] = append(asked[a.owner], name)
		}
	}
	questions := make([]Question, 0, len(asked))
	for o, l := range asked {
		slices.Sort(l)
		questions = append(questions, Question{Engine: engine, Owner: o, Attempts: l})
	}
	slices.SortFunc(questions, func(a, b Question) int { return cmp.Compare(a.Owner.Name, b.Owner.Name) })
	return questions
}

// Answer records which attempts an owner still serves, and returns those to
// cancel at once; an attempt that can be resumed waits for its grace period. An
// attempt without an entry in owned counts as not served.
func (t *Tracker) Answer(now time.Time, q Question, owned []bool) []Cancel {
	var cancels []Cancel
	for i, name := range q.Attempts {
		a := t.askedAttempt(q, name)
		if a == nil {
			continue
		}
		a.unanswered = false
		a.disownedSince = stateStart(a.disownedSince, now, i >= len(owned) || !owned[i])
		cancels = a.appendCancel(cancels, now, t.limits, q.Engine, name)
	}
	return cancels
}

// NoAnswer records that a question got no answer.
func (t *Tracker) NoAnswer(now time.Time, q Question) {
	for _, name := range q.Attempts {
		a := t.askedAttempt(q, name)
		if a != nil {
			a.unanswered = true
			a.unreachableSince = stateStart(a.unreachableSince, now, true)
		}
	}
}

// NextCheck returns when an engine has to be listed again for an attempt that is
// not cancelled yet, or zero if there is none.
func (t *Tracker) NextCheck(engine string) time.Time {
	var next time.Time
	for _, a := range t.engines[engine] {
		d := a.nextCheck(t.limits)
		if !a.cancelled && !d.IsZero() && (next.IsZero() || d.Before(next)) {
			next = d
		}
	}
	return next
}

// RetainEngines drops the state of every engine that is not named.
func (t *Tracker) RetainEngines(engines []string) {
	for e := range t.engines {
		if !slices.Contains(engines, e) {
			delete(t.engines, e)
		}
	}
}

// askedAttempt returns an attempt that still has the owner that was asked, or nil.
func (t *Tracker) askedAttempt(q Question, name string) *attempt {
	a := t.engines[q.Engine][name]
	if a == nil || a.owner != q.Owner {
		return nil
	}
	return a
}

// unfinished returns one element for each attempt that holds memory or waits, which
// leaves out finished ones. An engine of both roles may list the prefill and the
// decode part of the same attempt; the decode part is kept then.
func unfinished(list []tlwire.StreamInfo) []tlwire.StreamInfo {
	kept := make([]tlwire.StreamInfo, 0, len(list))
	at := make(map[string]int, len(list))
	for _, i := range list {
		if i.Stage == tlwire.StageFinished {
			continue
		}
		n, twice := at[i.Attempt]
		if !twice {
			at[i.Attempt] = len(kept)
			kept = append(kept, i)
			continue
		}
		if i.Stage == tlwire.StageDecoding {
			kept[n] = i
		}
	}
	return kept
}
