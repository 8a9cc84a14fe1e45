package tlrole

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"trefoillanding/core/tlendpoint"
)

// Need is the demand of requests that only the engines of one version may run, such as
// streams that have begun there.
type Need struct {
	Version string
	// Waiting counts those that wait for an engine now, the longest for Waited.
	Waiting int
	Waited  time.Duration
}

// CountByVersion returns the numbers of engines of each version by role; a moving engine counts for its new role.
func (s State) CountByVersion() map[string]tlendpoint.RoleCount {
	counts := map[string]tlendpoint.RoleCount{}
	for _, e := range s.Engines {
		c := counts[e.Version]
		switch {
		case e.IsDraining:
			c.Leaving++
		case e.HasEnded:
			c.Ended++
		default:
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
	versions := slices.Collect(maps.Keys(counts))
	for _, n := range s.Needs {
		needs[n.Version] = n.Waiting
		versions = append(versions, n.Version)
	}
	slices.Sort(versions)
	var list []string
	for _, version := range slices.Compact(versions) {
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
	isDecoded := map[string]bool{}
	for _, e := range s.Engines {
		if e.isDecoder() {
			isDecoded[e.Version] = true
		}
	}
	var list []string
	for _, n := range s.Needs {
		if !isDecoded[n.Version] {
			list = append(list, n.Version)
		}
	}
	return list
}

// ofVersion returns the state of the engines of a version alone.
func (s State) ofVersion(version string) State {
	isOther := func(e Engine) bool { return e.Version != version }
	s.Engines = slices.DeleteFunc(slices.Clone(s.Engines), isOther)
	return s
}

// isMixed reports whether the engines in use have several versions.
func (s State) isMixed() bool {
	first := ""
	hasFirst := false
	for _, e := range s.Engines {
		if !e.isInUse() {
			continue
		}
		if hasFirst && e.Version != first {
			return true
		}
		first, hasFirst = e.Version, true
	}
	return false
}

// versionRow is what the choice of engines depends on at each version.
type versionRow struct {
	// surplus is by how many prefill engines the version has more than suits its part of the work.
	surplus float64
	// decoders counts the decode engines that are not about to change their role.
	decoders int
}

// versionTable holds a row for each version.
type versionTable map[string]*versionRow

func (s State) versionTable(o Options) versionTable {
	t := versionTable{}
	share := s.prefillShare(o)
	for _, e := range s.Engines {
		if t[e.Version] == nil {
			t[e.Version] = &versionRow{}
		}
		if !e.isInUse() {
			continue
		}
		row := t[e.Version]
		row.surplus -= share
		if e.nextRole() == tlendpoint.Prefill {
			row.surplus++
		}
		if e.Role == tlendpoint.Decode && !e.IsMoving {
			row.decoders++
		}
	}
	return t
}

// move takes in that an engine of a version takes a role.
func (t versionTable) move(version string, to tlendpoint.Role) {
	row := t[version]
	if to == tlendpoint.Decode {
		row.surplus--
		return
	}
	row.surplus++
	row.decoders--
}

// crowdedVersion returns a version whose requests have waited for its decode engines for
// SettleTime while a prefill engine that it can spare is idle; empty if there is none. Other
// versions may have room, which these requests can't use.
func (s State) crowdedVersion(o Options) string {
	if len(s.Needs) == 0 || !s.isMixed() {
		return ""
	}
	for _, n := range s.Needs {
		if n.Waiting == 0 || n.Waited < o.SettleTime {
			continue
		}
		k := s.ofVersion(n.Version)
		prefill, _ := k.CountByRole()
		if prefill > max(k.prefillOfWork(o), 1) && k.hasIdlePrefill() {
			return n.Version
		}
	}
	return ""
}

// hasIdlePrefill reports whether a prefill engine that may be moved has no work.
func (s State) hasIdlePrefill() bool {
	return slices.ContainsFunc(s.Engines, func(e Engine) bool {
		return e.Role == tlendpoint.Prefill && e.isInUse() && !e.IsMoving && !e.IsBusy && e.SinceOrder >= orderInterval
	})
}
