package tlconfigcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"trefoillanding/core/tlaccess"
	"trefoillanding/core/tlroute"
)

// Change says what became of an entry.
type Change string

// The changes.
const (
	Added   Change = "Added"
	Removed Change = "Removed"
	Changed Change = "Changed"
)

// Difference is an entry that two versions of a configuration don't have in common.
type Difference struct {
	Change  Change
	Subject Subject
	Name    string
	// Fields has what changed; it is empty for entries that were added or removed.
	Fields []FieldChange
}

// FieldChange is a field that has changed.
type FieldChange struct {
	Name, Old, New string
}

// String returns the difference as one line.
func (d Difference) String() string {
	var fields []string
	for _, f := range d.Fields {
		fields = append(fields, fmt.Sprintf("%s %s -> %s", f.Name, f.Old, f.New))
	}
	text := fmt.Sprintf("%s %s", d.Change, title(d.Subject, d.Name))
	if len(fields) > 0 {
		text += ": " + strings.Join(fields, ", ")
	}
	return text
}

// fields has the values of an entry as texts, in order.
type fields []FieldChange

func (f *fields) add(name string, value any) {
	*f = append(*f, FieldChange{Name: name, New: fmt.Sprint(value)})
}

// Compare returns what differs in a version of a configuration from an older one: first
// in the limits, then by organisation, route and service.
func Compare(older, newer *tlroute.Table) []Difference {
	var list []Difference
	if changes := changesOf(limitFields(older.Limits), limitFields(newer.Limits)); len(changes) > 0 {
		list = append(list, Difference{Changed, Configuration, "", changes})
	}
	list = append(list, compareOrganisations(older.Organisations, newer.Organisations)...)
	list = append(list, compareEntries(Route, routesByName(older), routesByName(newer))...)
	return append(list, compareEntries(Service, servicesByName(older), servicesByName(newer))...)
}

func compareEntries(s Subject, older, newer map[string]fields) []Difference {
	names := maps.Clone(older)
	maps.Copy(names, newer)
	var list []Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		a, isOld := older[name]
		b, isNew := newer[name]
		switch {
		case !isOld:
			list = append(list, Difference{Change: Added, Subject: s, Name: name})
		case !isNew:
			list = append(list, Difference{Change: Removed, Subject: s, Name: name})
		default:
			if changes := changesOf(a, b); len(changes) > 0 {
				list = append(list, Difference{Changed, s, name, changes})
			}
		}
	}
	return list
}

func changesOf(older, newer fields) []FieldChange {
	var list []FieldChange
	for n, f := range newer {
		if old := older[n].New; old != f.New {
			list = append(list, FieldChange{f.Name, old, f.New})
		}
	}
	return list
}

func limitFields(l tlroute.Limits) fields {
	var f fields
	f.add("HeaderBytes", l.HeaderBytes)
	f.add("BodyBytes", l.BodyBytes)
	f.add("HeaderTimeout", l.HeaderTimeout)
	f.add("IdleTimeout", l.IdleTimeout)
	return f
}

// compareOrganisations compares organisations and how many of their keys were added and
// removed; the keys themselves are not told.
func compareOrganisations(older, newer *tlaccess.Index) []Difference {
	list := compareEntries(Organisation, organisationsByName(older), organisationsByName(newer))
	added, removed := newer.KeysMissingIn(older), older.KeysMissingIn(newer)
	for _, p := range newer.Organisations() {
		if older.Named(p.Name) == nil || added[p.Name]+removed[p.Name] == 0 {
			continue
		}
		c := FieldChange{"Keys", fmt.Sprintf("%d removed", removed[p.Name]), fmt.Sprintf("%d added", added[p.Name])}
		n, ok := slices.BinarySearchFunc(list, p.Name, func(d Difference, name string) int { return cmp.Compare(d.Name, name) })
		if !ok {
			list = slices.Insert(list, n, Difference{Change: Changed, Subject: Organisation, Name: p.Name})
		}
		list[n].Fields = append(list[n].Fields, c)
	}
	return list
}

func organisationsByName(x *tlaccess.Index) map[string]fields {
	m := map[string]fields{}
	for _, p := range x.Organisations() {
		var f fields
		f.add("Rank", p.Rank)
		f.add("Rate", p.Quota.Rate)
		f.add("Burst", p.Quota.Burst)
		f.add("CountsTokens", p.Quota.CountsTokens)
		f.add("DefaultTokens", p.Quota.DefaultTokens)
		m[p.Name] = f
	}
	return m
}

func routesByName(t *tlroute.Table) map[string]fields {
	m := map[string]fields{}
	for _, r := range t.Routes() {
		var f fields
		f.add("Host", printable(r.Host))
		f.add("Prefix", printable(r.Prefix))
		f.add("Kind", r.Kind)
		f.add("Timeout", r.Timeout)
		f.add("Objective", r.Objective)
		f.add("GapObjective", r.GapObjective)
		f.add("Rank", r.Rank)
		f.add("Attempts", r.Attempts)
		f.add("Targets", targetsText(r.Targets))
		f.add("IsPublic", r.IsPublic)
		f.add("Resumable", r.Resumable)
		if _, ok := m[r.Name]; !ok {
			m[r.Name] = f
		}
	}
	return m
}

func targetsText(targets []tlroute.Target) string {
	var list []string
	for _, g := range targets {
		list = append(list, fmt.Sprintf("%s:%g", printable(g.Service), g.Weight))
	}
	return strings.Join(list, "+")
}

func servicesByName(t *tlroute.Table) map[string]fields {
	m := map[string]fields{}
	for _, name := range t.Services() {
		var f fields
		e := t.Service(name).Engine
		f.add("IsEngine", e != nil)
		if e == nil {
			e = &tlroute.Engine{}
		}
		f.add("Slots", e.Slots)
		f.add("Memory", e.Memory)
		f.add("Stride", e.Stride)
		f.add("HandleLifetime", e.HandleLifetime)
		f.add("RoleChangeTime", e.RoleChangeTime)
		m[name] = f
	}
	return m
}
