package tlmember

import (
	"cmp"
	"slices"
	"time"

	"trefoillanding/core/tlwire"
)

// View is what one instance believes of all entry instances; it is not safe
// for concurrent use.
type View struct {
	self    string
	times   Times
	members map[string]*state
	ticked  time.Time

	ring []*state
	live []Member
	// strongest are those of live with the most capacity.
	strongest []Member
	isStale   bool
}

// New returns the view of the instance self, which knows nobody yet.
func New(self string, t Times) *View {
	return &View{self: self, times: t, members: map[string]*state{}, isStale: true}
}

// SetInstances takes in the platform's lagging list; whoever has left it is doubted.
func (v *View) SetInstances(now time.Time, l tlwire.InstanceList) {
	listed := map[string]bool{}
	for _, i := range l.Instances {
		if i.Kind != tlwire.InstanceKindEntry {
			continue
		}
		listed[i.Name] = true
		s := v.state(i.Name)
		if i.Incarnation > s.instance.Incarnation && s.instance.Incarnation != 0 && i.Name != v.self {
			v.revive(now, s)
		}
		s.instance, s.listed = i, true
	}
	for name, s := range v.members {
		if listed[name] {
			continue
		}
		s.listed = false
		v.doubt(now, s)
		if now.Sub(s.doubted) > 10*v.times.GoneAfter {
			delete(v.members, name)
		}
	}
	v.isStale = true
}

// revive takes an instance that has written itself down anew for one that was just heard.
func (v *View) revive(now time.Time, s *state) {
	s.heard, s.doubted, s.draining = now, time.Time{}, false
}

// Heard notes that an instance showed itself at a time, here or to a peer; what
// an older incarnation did is ignored.
func (v *View) Heard(at time.Time, name string, incarnation uint64, draining bool) {
	s := v.state(name)
	if incarnation < s.incarnation {
		return
	}
	isNew := incarnation > s.incarnation
	if !isNew && !at.After(s.heard) {
		return
	}
	isRestart := isNew && s.incarnation != 0
	if isRestart || s.draining != draining {
		s.news, v.isStale = at, true
	}
	s.incarnation, s.heard, s.draining = incarnation, at, draining
	if !s.doubted.IsZero() && at.After(s.doubted) {
		s.doubted, s.news, v.isStale = time.Time{}, at, true
	}
}

// Doubt notes that an instance can't be reached, or was silent for too long.
func (v *View) Doubt(now time.Time, name string) {
	if name != v.self {
		s := v.state(name)
		v.doubt(now, s)
		s.firstHand = true
	}
}

func (v *View) doubt(since time.Time, s *state) {
	if s.doubted.IsZero() && s.instance.Name != v.self {
		s.doubted, s.news, s.firstHand, v.isStale = since, since, false, true
	}
}

// OwnerFate says whether an incarnation of an instance may still serve its
// streams; asking for one that nobody knows begins to doubt it.
func (v *View) OwnerFate(owner string, incarnation uint64, now time.Time) Fate {
	s := v.state(owner)
	if s.incarnation > incarnation {
		return Gone
	}
	if owner == v.self {
		return Alive
	}
	if !s.listed && s.heard.IsZero() {
		v.Doubt(now, owner)
	}
	return s.fate(now, v.times.GoneAfter)
}

// Doubted returns the instances that this one itself began to doubt and must
// ask others about, oldest doubt first.
func (v *View) Doubted(now time.Time) []string {
	var open []*state
	for _, s := range v.members {
		if s.firstHand && s.fate(now, v.times.GoneAfter) == Suspected {
			open = append(open, s)
		}
	}
	slices.SortFunc(open, func(a, b *state) int {
		return cmp.Or(a.doubted.Compare(b.doubted), cmp.Compare(a.instance.Name, b.instance.Name))
	})
	names := make([]string, len(open))
	for i, s := range open {
		names[i] = s.instance.Name
	}
	return names
}

// Tick doubts the watched instances that are silent; it returns true when this
// instance itself was paused, in which case nobody's silence counts.
func (v *View) Tick(now time.Time) bool {
	gap := now.Sub(v.ticked)
	isFirst := v.ticked.IsZero()
	v.ticked = now
	if isFirst || gap > v.times.SuspectAfter/2 {
		for _, s := range v.members {
			s.waitFrom = now
		}
		return !isFirst
	}
	for _, s := range v.watched() {
		if s.waitFrom.IsZero() {
			s.waitFrom = now
		}
		if now.Sub(later(s.heard, s.waitFrom)) > v.times.SuspectAfter {
			v.Doubt(now, s.instance.Name)
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

func (v *View) state(name string) *state {
	s := v.members[name]
	if s == nil {
		s = &state{instance: tlwire.Instance{Name: name}}
		v.members[name] = s
	}
	return s
}
