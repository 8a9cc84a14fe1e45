package tlmember

import (
	"cmp"
	"slices"
	"time"

	"trefoillanding/core/tlwire"
)

// newsFactor is how many times GoneAfter a change is told on.
const newsFactor = 3

// Sightings returns what is worth telling others: at most limit instances that
// are doubted, or whose state changed a moment ago, latest change first.
func (v *View) Sightings(now time.Time, limit int) []tlwire.Sighting {
	var news []*state
	for _, s := range v.members {
		if !s.news.IsZero() && now.Sub(s.news) < newsFactor*v.times.GoneAfter {
			news = append(news, s)
		}
	}
	slices.SortFunc(news, func(a, b *state) int {
		return cmp.Or(b.news.Compare(a.news), cmp.Compare(a.instance.Name, b.instance.Name))
	})
	var out []tlwire.Sighting
	for _, s := range news[:min(limit, len(news))] {
		out = append(out, v.sighting(now, s))
	}
	return out
}

// Sighting returns what this instance knows of another.
func (v *View) Sighting(now time.Time, name string) tlwire.Sighting {
	return v.sighting(now, v.state(name))
}

func (v *View) sighting(now time.Time, s *state) tlwire.Sighting {
	t := tlwire.Sighting{Name: s.instance.Name, Incarnation: s.incarnation}
	if !s.heard.IsZero() {
		t.HeardAgo = max(now.Sub(s.heard), 1)
	}
	if !s.doubted.IsZero() {
		t.DoubtedFor = max(now.Sub(s.doubted), 1)
	}
	return t
}

// ApplySighting takes in what a peer knows of an instance; it returns true when that is
// a doubt about this instance itself, which it then has to refute.
func (v *View) ApplySighting(now time.Time, t tlwire.Sighting) bool {
	if t.Name == v.self {
		return t.DoubtedFor > 0
	}
	s := v.state(t.Name)
	if t.HeardAgo > 0 {
		v.RecordHeard(now.Add(-t.HeardAgo), t.Name, t.Incarnation, s.draining)
	}
	since := now.Add(-t.DoubtedFor)
	if t.DoubtedFor > 0 && t.Incarnation >= s.incarnation && since.After(s.heard) {
		v.doubt(since, s)
	}
	return false
}

// Refute makes this instance tell others that it is alive.
func (v *View) Refute(now time.Time, incarnation uint64) {
	s := v.state(v.self)
	s.incarnation, s.heard, s.news = incarnation, now, now
}
