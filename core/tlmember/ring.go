package tlmember

import (
	"cmp"
	"slices"
)

// steadyNeighbours is how many successors an instance sends gossip to at every heartbeat.
const steadyNeighbours = 2

// refresh sorts all listed instances into a ring by data centre and name, so
// that instances of one data centre are adjacent.
func (v *View) refresh() {
	if !v.isStale {
		return
	}
	v.isStale = false
	v.ring, v.live = v.ring[:0:0], nil
	for _, s := range v.members {
		if s.listed {
			v.ring = append(v.ring, s)
		}
	}
	slices.SortFunc(v.ring, func(a, b *memberState) int {
		return cmp.Or(
			cmp.Compare(a.instance.DataCentre, b.instance.DataCentre),
			cmp.Compare(a.instance.Name, b.instance.Name),
		)
	})
	for _, s := range v.ring {
		if s.isStaying() && s.suspectedAt.IsZero() {
			v.live = append(v.live, s.member())
		}
	}
	v.largest = largest(v.live)
}

// Neighbours returns the instances to send gossip to in a round: the next
// steadyNeighbours of the ring every time, and one at a distance that cycles
// through the powers of two. The cost of a round is constant, and a change
// reaches n instances in O(log n) rounds.
func (v *View) Neighbours(round int) (steady []string, far string) {
	v.refresh()
	at, n := v.position(v.self), len(v.ring)
	if at < 0 {
		return nil, ""
	}
	for d := 1; d <= steadyNeighbours && d < n; d++ {
		steady = append(steady, v.ring[(at+d)%n].instance.Name)
	}
	var distances []int
	for d := 1; d < n; d *= 2 {
		distances = append(distances, d)
	}
	if len(distances) == 0 {
		return steady, ""
	}
	return steady, v.ring[(at+distances[round%len(distances)])%n].instance.Name
}

// Watchers returns the instances that receive gossip from the named one at every
// heartbeat, without self.
func (v *View) Watchers(name string) []string {
	v.refresh()
	at, n := v.position(name), len(v.ring)
	var out []string
	for d := 1; at >= 0 && d <= steadyNeighbours && d < n; d++ {
		if w := v.ring[(at+d)%n].instance.Name; w != v.self {
			out = append(out, w)
		}
	}
	return out
}

// watched returns the instances that send gossip to self at every heartbeat.
func (v *View) watched() []*memberState {
	v.refresh()
	at, n := v.position(v.self), len(v.ring)
	var out []*memberState
	for d := 1; at >= 0 && d <= steadyNeighbours && d < n; d++ {
		out = append(out, v.ring[(at-d+n)%n])
	}
	return out
}

func (v *View) position(name string) int {
	return slices.IndexFunc(v.ring, func(s *memberState) bool { return s.instance.Name == name })
}
