package tlaccess

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Entry is an organisation as it is configured.
type Entry struct {
	Organisation Organisation
	// Keys are the keys of its callers.
	Keys []string
}

// Index finds the organisations of one configuration; it is immutable.
type Index struct {
	byKey  map[string]*Organisation
	byName map[string]*Organisation
	isSet  bool
}

// NoOrganisations returns the index of a configuration without organisations, in which
// requests need no key.
func NoOrganisations() *Index {
	return &Index{}
}

// New returns the index of the organisations that are configured, and why entries or keys
// are ignored. Of entries that have the same name or key, the first has it.
func New(list []Entry) (*Index, []error) {
	x := &Index{
		byKey:  make(map[string]*Organisation, len(list)),
		byName: make(map[string]*Organisation, len(list)),
		isSet:  true,
	}
	var ignored []error
	for n, e := range list {
		if err := x.check(e.Organisation); err != nil {
			ignored = append(ignored, fmt.Errorf("organisation %d: %w", n, err))
			continue
		}
		ignored = append(ignored, x.add(e)...)
	}
	return x, ignored
}

var (
	errNoName    = errors.New("it has no name")
	errBadName   = errors.New("a header can't carry its name")
	errNameTaken = errors.New("another organisation has its name")
)

func (x *Index) check(o Organisation) error {
	switch {
	case o.Name == "":
		return errNoName
	case !isHeaderText(o.Name):
		return errBadName
	case x.byName[o.Name] != nil:
		return errNameTaken
	}
	return nil
}

func (x *Index) add(e Entry) []error {
	o := e.Organisation
	x.byName[o.Name] = &o
	var ignored []error
	if o.Quota.Rate < 0 || o.Quota.Burst < 0 || o.Quota.DefaultTokens < 0 {
		o.Quota = Quota{}
		ignored = append(ignored, fmt.Errorf("organisation %s: its quota is negative and doesn't count", o.Name))
	}
	for n, key := range e.Keys {
		// Keys must not be logged.
		switch other := x.byKey[key]; {
		case key == "":
			ignored = append(ignored, fmt.Errorf("organisation %s: key %d is empty", o.Name, n))
		case other == &o:
			ignored = append(ignored, fmt.Errorf("organisation %s: key %d is listed before", o.Name, n))
		case other != nil:
			ignored = append(ignored, fmt.Errorf("organisation %s: key %d is one of organisation %s", o.Name, n, other.Name))
		default:
			x.byKey[key] = &o
		}
	}
	return ignored
}

// isHeaderText reports whether a header can carry a text unchanged: readers drop spaces
// around it.
func isHeaderText(s string) bool {
	isControl := func(b byte) bool { return b < ' ' || b == 0x7f }
	return s == strings.Trim(s, " ") && !slices.ContainsFunc([]byte(s), isControl)
}

// IsEmpty reports whether the configuration has no organisations, so that requests need no key.
func (x *Index) IsEmpty() bool {
	return !x.isSet
}

// Find returns the organisation that has a key, or nil.
func (x *Index) Find(key string) *Organisation {
	return x.byKey[key]
}

// Named returns the organisation of a name, or nil.
func (x *Index) Named(name string) *Organisation {
	return x.byName[name]
}
