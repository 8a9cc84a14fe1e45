package tlmember

import (
	"cmp"
	"slices"
	"time"

	"trefoillanding/core/tlwire"
)

// gossipFactor is how long a change is gossiped, in multiples of GoneAfter.
const gossipFactor = 3

// Sightings returns what to gossip: at most limit instances whose state changed,
// a suspicion included, within the last gossipFactor times GoneAfter, latest
// change first.
func (v *View) Sightings(now time.Time, limit int) []tlwire.Sighting {
	var recent []*memberState
	for _, s := range v.members {
		if !s.changedAt.IsZero() && now.Sub(s.changedAt) < gossipFactor*v.timeouts.GoneAfter {
			recent = append(recent, s)
		}
	}
	slices.SortFunc(recent, func(a, b *memberState) int {
		return cmp.Or(b.changedAt.Compare(a.changedAt), cmp.Compare(a.instance.Name, b.instance.Name))
	})
	var out []tlwire.Sighting
	for _, s := range recent[:min(limit, len(recent))] {
		out = append(out, v.sighting(now, s))
	}
	return out
}

// Sighting returns what this instance knows about the named one.
func (v *View) Sighting(now time.Time, name string) tlwire.Sighting {
	return v.sighting(now, v.state(name))
}

func (v *View) sighting(now time.Time, s *memberState) tlwire.Sighting {
	t := tlwire.Sighting{Name: s.instance.Name, Incarnation: s.incarnation}
	if !s.heardAt.IsZero() {
		t.HeardAgo = max(now.Sub(s.heardAt), 1)
	}
	if !s.suspectedAt.IsZero() {
		t.DoubtedFor = max(now.Sub(s.suspectedAt), 1)
	}
	return t
}

// ApplySighting applies what a peer knows about an instance. It returns true if
// the peer suspects this instance itself, which must then call Refute.
func (v *View) ApplySighting(now time.Time, t tlwire.Sighting) bool {
	if t.Name == v.self {
		return t.DoubtedFor > 0
	}
	s := v.state(t.Name)
	if t.HeardAgo > 0 {
		v.RecordSign(now.Add(-t.HeardAgo), t.Name, t.Incarnation)
	}
	since := now.Add(-t.DoubtedFor)
	if t.DoubtedFor > 0 && t.Incarnation >= s.incarnation && since.After(s.heardAt) {
		v.suspect(since, s)
	}
	return false
}

// Refute makes this instance gossip that it is alive, under the given incarnation.
func (v *View) Refute(now time.Time, incarnation uint64) {
	s := v.state(v.self)
	s.incarnation, s.heardAt, s.changedAt = incarnation, now, now
}
