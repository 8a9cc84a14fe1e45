package tlsweep

import (
	"cmp"
	"slices"
	"time"

	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlwire"
)

// Cancel asks for an attempt to be cancelled as long as its owner is the same.
type Cancel struct {
	Engine  string
	Attempt string
	Owner   Owner
	Reason  Reason
	// IsRepeat says that it was asked for before.
	IsRepeat bool
}

// Question asks an owner which of its attempts at an engine it still serves.
type Question struct {
	Engine   string
	Owner    Owner
	Attempts []string
}

// Tracker remembers the attempts of a home's engines; it is not safe for
// concurrent use.
type Tracker struct {
	limits  Limits
	engines map[string]map[string]*attempt
}

// New returns a sweep that has seen nothing.
func New(l Limits) *Tracker {
	return &Tracker{limits: l, engines: map[string]map[string]*attempt{}}
}

// Observe takes in what an engine holds and returns what to cancel there. An
// attempt that is still listed later is returned again.
func (s *Tracker) Observe(now time.Time, engine string, list []tlwire.StreamInfo, fate func(Owner) tlmember.Liveness) []Cancel {
	before := s.engines[engine]
	after := make(map[string]*attempt, len(list))
	var cancels []Cancel
	for _, i := range unfinished(list) {
		o := Owner{i.Owner, i.Incarnation}
		a := before[i.Attempt]
		if a == nil || a.owner != o {
			a = &attempt{owner: o}
		}
		a.update(now, i, fate(o))
		after[i.Attempt] = a
		cancels = a.sweep(cancels, now, s.limits, engine, i.Attempt)
	}
	s.engines[engine] = after
	return cancels
}

// Questions returns what owners are to be asked now, and notes that they are.
func (s *Tracker) Questions(now time.Time, engine string) []Question {
	asked := map[Owner][]string{}
	for name, a := range s.engines[engine] {
		at, asks := a.askAt(s.limits)
		if asks && !now.Before(at) {
			a.asked = now
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

// Answer takes in which attempts an owner still serves, and returns what to
// cancel at once; what may be resumed elsewhere waits for its grace.
func (s *Tracker) Answer(now time.Time, q Question, owned []bool) []Cancel {
	var cancels []Cancel
	for i, name := range q.Attempts {
		a := s.asked(q, name)
		if a == nil {
			continue
		}
		a.unanswered = false
		a.disowned = since(a.disowned, now, i >= len(owned) || !owned[i])
		cancels = a.sweep(cancels, now, s.limits, q.Engine, name)
	}
	return cancels
}

// NoAnswer notes that an owner could not be asked.
func (s *Tracker) NoAnswer(now time.Time, q Question) {
	for _, name := range q.Attempts {
		a := s.asked(q, name)
		if a != nil {
			a.unanswered = true
			a.silent = since(a.silent, now, true)
		}
	}
}

// NextCheck returns when an engine has to be looked at again for an attempt that was
// not swept yet; zero is when nothing waits.
func (s *Tracker) NextCheck(engine string) time.Time {
	var next time.Time
	for _, a := range s.engines[engine] {
		d := a.next(s.limits)
		if !a.swept && !d.IsZero() && (next.IsZero() || d.Before(next)) {
			next = d
		}
	}
	return next
}

// RetainEngines forgets every engine that is not named.
func (s *Tracker) RetainEngines(engines []string) {
	for e := range s.engines {
		if !slices.Contains(engines, e) {
			delete(s.engines, e)
		}
	}
}

// asked returns an attempt that still has the owner who was asked, or nil.
func (s *Tracker) asked(q Question, name string) *attempt {
	a := s.engines[q.Engine][name]
	if a == nil || a.owner != q.Owner {
		return nil
	}
	return a
}

// unfinished returns one element for each attempt that holds memory or waits;
// an engine of both roles may list both halves of one.
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
