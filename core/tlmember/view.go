package tlmember

import (
	"cmp"
	"slices"
	"time"

	"trefoillanding/core/tlwire"
)

// View is one instance's knowledge of all entry instances; it is not safe for
// concurrent use.
type View struct {
	self     string
	timeouts Timeouts
	members  map[string]*memberState
	lastTick time.Time

	ring []*memberState
	live []Member
	// largest holds the instances of live with the most capacity.
	largest []Member
	isStale bool
}

// New returns the view of the instance self; it knows no other instance yet.
func New(self string, t Timeouts) *View {
	return &View{self: self, timeouts: t, members: map[string]*memberState{}, isStale: true}
}

// SetInstances applies the platform's instance list, which lags, and suspects
// known instances that are not on it.
func (v *View) SetInstances(now time.Time, l tlwire.InstanceList) {
	listed := map[string]bool{}
	for _, i := range l.Instances {
		if i.Kind != tlwire.InstanceKindEntry {
			continue
		}
		listed[i.Name] = true
		s := v.state(i.Name)
		if i.Incarnation > s.instance.Incarnation && s.instance.Incarnation != 0 && i.Name != v.self {
			v.markRestarted(now, s)
		}
		s.noteIncarnation(now, i.Incarnation)
		s.instance, s.listed = i, true
	}
	for name, s := range v.members {
		if listed[name] {
			continue
		}
		s.listed = false
		v.suspect(now, s)
		if now.Sub(s.suspectedAt) > 10*v.timeouts.GoneAfter {
			delete(v.members, name)
		}
	}
	v.isStale = true
}

// markRestarted counts an instance that registered again as just heard from.
func (v *View) markRestarted(now time.Time, s *memberState) {
	s.heardAt, s.suspectedAt, s.draining = now, time.Time{}, false
}

// RecordHeard records that this instance or a peer heard from the named one at a
// time. Older incarnations are ignored.
func (v *View) RecordHeard(at time.Time, name string, incarnation uint64, draining bool) {
	s := v.state(name)
	if incarnation < s.incarnation {
		return
	}
	isNew := incarnation > s.incarnation
	if !isNew && !at.After(s.heardAt) {
		return
	}
	isRestart := isNew && s.incarnation != 0
	if isRestart || s.draining != draining {
		s.changedAt, v.isStale = at, true
	}
	s.noteIncarnation(at, incarnation)
	s.incarnation, s.heardAt, s.draining = incarnation, at, draining
	if !s.suspectedAt.IsZero() && at.After(s.suspectedAt) {
		s.suspectedAt, s.changedAt, v.isStale = time.Time{}, at, true
	}
}

// RecordSign records the same of a sign of life that doesn't tell whether the instance drains.
func (v *View) RecordSign(at time.Time, name string, incarnation uint64) {
	s := v.state(name)
	v.RecordHeard(at, name, incarnation, s.draining && incarnation == s.incarnation)
}

// Suspect records that an instance is unreachable or was silent for too long.
func (v *View) Suspect(now time.Time, name string) {
	if name != v.self {
		s := v.state(name)
		v.suspect(now, s)
		s.firstHand = true
	}
}

func (v *View) suspect(since time.Time, s *memberState) {
	if s.suspectedAt.IsZero() && s.instance.Name != v.self {
		s.suspectedAt, s.changedAt, s.firstHand, v.isStale = since, since, false, true
	}
}

// OwnerLiveness says whether an incarnation of an instance may still serve its
// streams. It makes an instance that was never listed nor heard from suspected.
func (v *View) OwnerLiveness(owner string, incarnation uint64, now time.Time) Liveness {
	s := v.state(owner)
	if s.incarnation > incarnation {
		return Gone
	}
	if owner == v.self {
		return Alive
	}
	if !s.listed && s.heardAt.IsZero() {
		v.Suspect(now, owner)
	}
	return s.liveness(now, v.timeouts.GoneAfter)
}

// SuspectsToConfirm returns the suspected instances that this one itself suspects
// first-hand and must ask peers about, longest suspected first.
func (v *View) SuspectsToConfirm(now time.Time) []string {
	var pending []*memberState
	for _, s := range v.members {
		if s.firstHand && s.liveness(now, v.timeouts.GoneAfter) == Suspected {
			pending = append(pending, s)
		}
	}
	slices.SortFunc(pending, func(a, b *memberState) int {
		return cmp.Or(a.suspectedAt.Compare(b.suspectedAt), cmp.Compare(a.instance.Name, b.instance.Name))
	})
	names := make([]string, len(pending))
	for i, s := range pending {
		names[i] = s.instance.Name
	}
	return names
}

// Tick suspects the watched instances that have been silent for more than
// SuspectAfter. It returns true if this instance itself was paused, that is if
// more than half of SuspectAfter passed since the last call; all silence is then
// counted from now on.
func (v *View) Tick(now time.Time) bool {
	gap := now.Sub(v.lastTick)
	isFirst := v.lastTick.IsZero()
	v.lastTick = now
	if isFirst || gap > v.timeouts.SuspectAfter/2 {
		for _, s := range v.members {
			s.silentFrom = now
		}
		return !isFirst
	}
	for _, s := range v.watched() {
		if s.silentFrom.IsZero() {
			s.silentFrom = now
		}
		if now.Sub(later(s.heardAt, s.silentFrom)) > v.timeouts.SuspectAfter {
			v.Suspect(now, s.instance.Name)
		}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (v *View) state(name string) *memberState {
	s := v.members[name]
	if s == nil {
		s = &memberState{instance: tlwire.Instance{Name: name}}
		v.members[name] = s
	}
	return s
}
