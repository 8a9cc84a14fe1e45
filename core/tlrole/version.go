package tlrole

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"trefoillanding/core/tlendpoint"
)

// Need is the demand of requests that only the engines of one version may run, such as
// streams that have begun there.
type Need struct {
	Version string
	// Waiting counts those that wait for an engine now.
	Waiting int
}

// CountByVersion returns the numbers of engines of each version by role; a moving engine counts for its new role.
func (s State) CountByVersion() map[string]tlendpoint.RoleCount {
	counts := map[string]tlendpoint.RoleCount{}
	for _, e := range s.Engines {
		c := counts[e.Version]
		if e.IsDraining {
			c.Leaving++
		} else {
			c.Add(e.nextRole())
		}
		counts[e.Version] = c
	}
	return counts
}

// Describe returns the engines of each version by role, and the requests that need it, as they are logged.
func (s State) Describe() string {
	counts := s.CountByVersion()
	needs := map[string]int{}
	for _, n := range s.Needs {
		needs[n.Version] = n.Waiting
		counts[n.Version] = counts[n.Version]
	}
	var list []string
	for _, version := range slices.Sorted(maps.Keys(counts)) {
		text := fmt.Sprintf("%s: %s", version, counts[version])
		if waiting, isNeeded := needs[version]; isNeeded {
			text += fmt.Sprintf(", needed, %d waiting", waiting)
		}
		list = append(list, text)
	}
	return strings.Join(list, "; ")
}

// Undecoded returns the versions that requests need and that have no decode engine, in order.
func (s State) Undecoded() []string {
	if len(s.Needs) == 0 {
		return nil
	}
	counts := s.CountByVersion()
	var list []string
	for _, n := range s.Needs {
		if counts[n.Version].Decode == 0 {
			list = append(list, n.Version)
		}
	}
	return list
}
