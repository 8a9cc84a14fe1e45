package tlconfig

import (
	"fmt"
	"net/netip"
	"regexp"

	"trefoillanding/core/tlwire"
	"trefoillanding/core/tlyaml"
)

// location identifies a field in one of the files.
type location struct {
	document *tlyaml.Document
	path     string
}

// String returns the location as file:line.
func (p location) String() string {
	return fmt.Sprintf("%s:%d", p.document.File, p.document.Line(p.path))
}

func (p location) field(name string) location {
	return location{p.document, p.path + "." + name}
}

func (p location) element(list string, i int) location {
	return location{p.document, fmt.Sprintf("%s.%s[%d]", p.path, list, i)}
}

func (p location) isSet() bool {
	return p.document.Has(p.path)
}

func (p location) problem(format string, args ...any) {
	p.document.Add(p.path, format, args...)
}

// checker holds the merged content of all files and the location of each part.
type checker struct {
	merged        tlwire.Config
	documents     []*tlyaml.Document
	dataCentres   []location
	services      []location
	pools         []location
	organisations []location
	firstUse      map[uniqueKey]location
}

// uniqueKey is a value that must be unique within its kind.
type uniqueKey struct {
	kind, value string
}

func newChecker() *checker {
	return &checker{firstUse: map[uniqueKey]location{}}
}

func (c *checker) add(part tlwire.Config, d *tlyaml.Document) {
	c.documents = append(c.documents, d)
	c.dataCentres = append(c.dataCentres, locationsOf(d, "DataCentres", len(part.DataCentres))...)
	c.services = append(c.services, locationsOf(d, "Services", len(part.Services))...)
	c.pools = append(c.pools, locationsOf(d, "Pools", len(part.Pools))...)
	c.organisations = append(c.organisations, locationsOf(d, "Organisations", len(part.Organisations))...)
	c.merged.DataCentres = append(c.merged.DataCentres, part.DataCentres...)
	c.merged.Services = append(c.merged.Services, part.Services...)
	c.merged.Pools = append(c.merged.Pools, part.Pools...)
	c.merged.Organisations = append(c.merged.Organisations, part.Organisations...)
}

func locationsOf(d *tlyaml.Document, list string, n int) []location {
	out := make([]location, n)
	for i := range out {
		out[i] = location{d, fmt.Sprintf("%s[%d]", list, i)}
	}
	return out
}

func (c *checker) check() error {
	for _, f := range checks {
		f(c)
	}
	var all tlyaml.Problems
	for _, d := range c.documents {
		all = append(all, d.Problems...)
	}
	return all.Err()
}

// unique reports a value that is already used, with both locations.
func (c *checker) unique(kind, value string, p location) {
	if value == "" {
		return
	}
	k := uniqueKey{kind, value}
	if first, ok := c.firstUse[k]; ok {
		p.problem("%s %q is taken already at %s", kind, value, first)
		return
	}
	c.firstUse[k] = p
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// name checks that a name is well formed, since it is used in URL paths, and unique.
func (c *checker) name(kind, value string, p location) {
	if p.isSet() && !namePattern.MatchString(value) {
		p.problem("must be letters, digits, dots, dashes and underscores, but is %q", value)
		return
	}
	c.unique(kind, value, p)
}

func (c *checker) address(a netip.AddrPort, p location) {
	if !p.isSet() {
		return
	}
	if a.Addr().IsUnspecified() || a.Port() == 0 {
		p.problem("must be a full IP address and port, but is %q", a)
		return
	}
	c.unique("address", a.String(), p)
}

// token checks that no other organisation has the token, without printing it.
func (c *checker) token(value string, p location) {
	if value == "" {
		return
	}
	k := uniqueKey{"token", value}
	if first, ok := c.firstUse[k]; ok {
		p.problem("the token is taken already at %s", first)
		return
	}
	c.firstUse[k] = p
}

// dataCentre checks that a data centre is declared, if any data centre is.
func (c *checker) dataCentre(name string, p location) {
	if len(c.dataCentres) == 0 || !p.isSet() {
		return
	}
	if _, ok := c.firstUse[uniqueKey{"data centre", name}]; !ok {
		p.problem("no data centre is named %q", name)
	}
}
