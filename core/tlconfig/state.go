package tlconfig

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"trefoillanding/core/tlwire"
)

// maxApplied is the number of accepted proposals that a state keeps, so that a
// repeated apply is answered with the generation that the first one created.
const maxApplied = 64

type itemKey struct {
	section, name string
}

// State is an immutable configuration in force with its generation and log
// offset. Items and fields that a later version wrote are kept.
type State struct {
	Generation uint64
	Offset     uint64
	Digest     Digest
	Declared   tlwire.Config
	items      map[itemKey]cbor.RawMessage
	applied    []tlwire.AppliedProposal
}

// Diff returns the change that turns the state's items into those of c.
func (s State) Diff(c tlwire.Config) (tlwire.ConfigChange, error) {
	var change tlwire.ConfigChange
	digest := s.Digest
	removed := maps.Clone(s.items)
	for _, sec := range sections {
		items, err := sec.items(c)
		if err != nil {
			return change, err
		}
		for _, i := range items {
			k := itemKey{i.Section, i.Name}
			old, ok := s.items[k]
			delete(removed, k)
			if ok && bytes.Equal(old, i.Body) {
				continue
			}
			if ok {
				digest = digest.minus(digestOf(k, old))
			}
			digest = digest.plus(digestOf(k, i.Body))
			change.Items = append(change.Items, i)
		}
	}
	for k, old := range removed {
		digest = digest.minus(digestOf(k, old))
		change.Gone = append(change.Gone, tlwire.ConfigItemName{Section: k.section, Name: k.name})
	}
	slices.SortFunc(change.Gone, func(a, b tlwire.ConfigItemName) int {
		return cmp.Or(cmp.Compare(a.Section, b.Section), cmp.Compare(a.Name, b.Name))
	})
	change.Digest = digest.Bytes()
	return change, nil
}

// IsEmpty reports whether a change changes nothing.
func IsEmpty(c tlwire.ConfigChange) bool {
	return len(c.Items) == 0 && len(c.Gone) == 0
}

// apply returns the state after a change, which is applied entirely or not at all.
func (s State) apply(c tlwire.ConfigChange) (State, error) {
	s.items = maps.Clone(s.items)
	if s.items == nil {
		s.items = map[itemKey]cbor.RawMessage{}
	}
	for _, sec := range sections {
		sec.clone(&s.Declared)
	}
	for _, g := range c.Gone {
		s.drop(itemKey{g.Section, g.Name})
	}
	for _, i := range c.Items {
		k := itemKey{i.Section, i.Name}
		if sec, ok := sectionNamed(i.Section); ok {
			if err := sec.put(&s.Declared, i.Name, i.Body); err != nil {
				return State{}, err
			}
		}
		if old, ok := s.items[k]; ok {
			s.Digest = s.Digest.minus(digestOf(k, old))
		}
		s.Digest = s.Digest.plus(digestOf(k, i.Body))
		s.items[k] = i.Body
	}
	return s, nil
}

func (s *State) drop(k itemKey) {
	old, ok := s.items[k]
	if !ok {
		return
	}
	if sec, ok := sectionNamed(k.section); ok {
		sec.remove(&s.Declared, k.name)
	}
	s.Digest = s.Digest.minus(digestOf(k, old))
	delete(s.items, k)
}

// addApplied adds an accepted proposal and drops the oldest beyond maxApplied.
func (s *State) addApplied(nonce, author string) {
	s.applied = append(slices.Clone(s.applied), tlwire.AppliedProposal{
		Nonce:      nonce,
		Generation: s.Generation,
		Author:     author,
	})
	s.applied = s.applied[max(0, len(s.applied)-maxApplied):]
}

// GenerationOf returns the generation that the proposal with the given nonce created.
func (s State) GenerationOf(nonce string) (uint64, bool) {
	i := slices.IndexFunc(s.applied, func(a tlwire.AppliedProposal) bool { return a.Nonce == nonce })
	if i < 0 {
		return 0, false
	}
	return s.applied[i].Generation, true
}

// Author returns who applied the generation in force, or "" if that is not known.
func (s State) Author() string {
	if len(s.applied) == 0 {
		return ""
	}
	return s.applied[len(s.applied)-1].Author
}

// Export returns the state in its wire form.
func (s State) Export() tlwire.ConfigState {
	out := tlwire.ConfigState{
		Generation: s.Generation,
		Offset:     s.Offset,
		Digest:     s.Digest.Bytes(),
		Applied:    s.applied,
	}
	for k, body := range s.items {
		out.Items = append(out.Items, tlwire.ConfigItem{Section: k.section, Name: k.name, Body: body})
	}
	slices.SortFunc(out.Items, func(a, b tlwire.ConfigItem) int {
		return cmp.Or(cmp.Compare(a.Section, b.Section), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// Import returns the state that was exported, or an error if it is corrupt.
func Import(e tlwire.ConfigState) (State, error) {
	s, err := State{}.apply(tlwire.ConfigChange{Items: e.Items})
	if err != nil {
		return State{}, err
	}
	if !bytes.Equal(s.Digest.Bytes(), e.Digest) {
		return State{}, errDigestMismatch
	}
	s.Generation, s.Offset, s.applied = e.Generation, e.Offset, e.Applied
	return s, nil
}
