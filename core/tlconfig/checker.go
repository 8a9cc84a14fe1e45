package tlconfig

import (
	"fmt"
	"net/netip"
	"regexp"

	"trefoillanding/core/tlwire"
	"trefoillanding/core/tlyaml"
)

// place is a field of one of the files.
type place struct {
	document *tlyaml.Document
	path     string
}

// String returns the file and line.
func (p place) String() string {
	return fmt.Sprintf("%s:%d", p.document.File, p.document.Line(p.path))
}

func (p place) field(name string) place {
	return place{p.document, p.path + "." + name}
}

func (p place) element(list string, i int) place {
	return place{p.document, fmt.Sprintf("%s.%s[%d]", p.path, list, i)}
}

func (p place) isSet() bool {
	return p.document.Has(p.path)
}

func (p place) problem(format string, args ...any) {
	p.document.Add(p.path, format, args...)
}

// checker holds the files' content as one whole, and where each part stands.
type checker struct {
	whole         tlwire.Config
	documents     []*tlyaml.Document
	dataCentres   []place
	services      []place
	pools         []place
	organisations []place
	taken         map[key]place
}

// key is a value that must be unique within its kind.
type key struct {
	kind, value string
}

func newChecker() *checker {
	return &checker{taken: map[key]place{}}
}

func (c *checker) add(part tlwire.Config, d *tlyaml.Document) {
	c.documents = append(c.documents, d)
	c.dataCentres = append(c.dataCentres, places(d, "DataCentres", len(part.DataCentres))...)
	c.services = append(c.services, places(d, "Services", len(part.Services))...)
	c.pools = append(c.pools, places(d, "Pools", len(part.Pools))...)
	c.organisations = append(c.organisations, places(d, "Organisations", len(part.Organisations))...)
	c.whole.DataCentres = append(c.whole.DataCentres, part.DataCentres...)
	c.whole.Services = append(c.whole.Services, part.Services...)
	c.whole.Pools = append(c.whole.Pools, part.Pools...)
	c.whole.Organisations = append(c.whole.Organisations, part.Organisations...)
}

func places(d *tlyaml.Document, list string, n int) []place {
	out := make([]place, n)
	for i := range out {
		out[i] = place{d, fmt.Sprintf("%s[%d]", list, i)}
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

// unique reports a value that stands elsewhere already, naming both places.
func (c *checker) unique(kind, value string, p place) {
	if value == "" {
		return
	}
	k := key{kind, value}
	if first, ok := c.taken[k]; ok {
		p.problem("%s %q is taken already at %s", kind, value, first)
		return
	}
	c.taken[k] = p
}

var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// name checks the form of a name, which goes into paths of URLs, and that it is unique.
func (c *checker) name(kind, value string, p place) {
	if p.isSet() && !nameForm.MatchString(value) {
		p.problem("must be letters, digits, dots, dashes and underscores, but is %q", value)
		return
	}
	c.unique(kind, value, p)
}

func (c *checker) address(a netip.AddrPort, p place) {
	if !p.isSet() {
		return
	}
	if a.Addr().IsUnspecified() || a.Port() == 0 {
		p.problem("must be a full IP address and port, but is %q", a)
		return
	}
	c.unique("address", a.String(), p)
}

// token checks that no other organisation has it, without printing it.
func (c *checker) token(value string, p place) {
	if value == "" {
		return
	}
	k := key{"token", value}
	if first, ok := c.taken[k]; ok {
		p.problem("the token is taken already at %s", first)
		return
	}
	c.taken[k] = p
}

// dataCentre checks that a place is declared, once any place is.
func (c *checker) dataCentre(name string, p place) {
	if len(c.dataCentres) == 0 || !p.isSet() {
		return
	}
	if _, ok := c.taken[key{"data centre", name}]; !ok {
		p.problem("no data centre is named %q", name)
	}
}
