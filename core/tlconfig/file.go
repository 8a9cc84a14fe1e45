package tlconfig

import (
	"cmp"
	"slices"

	"trefoillanding/core/tlwire"
	"trefoillanding/core/tlyaml"
)

// File is one of the configuration files that are applied together.
type File struct {
	Name string
	Data []byte
}

// Parse merges and validates the files; the error lists every problem, one per line.
func Parse(files ...File) (*Config, error) {
	c := newChecker()
	for _, f := range files {
		part, d := tlyaml.Decode[tlwire.Config](f.Name, f.Data)
		c.add(part, d)
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	return New(sorted(c.merged)), nil
}

// sorted sorts every list by name, so that the split into files has no effect.
func sorted(c tlwire.Config) tlwire.Config {
	slices.SortFunc(c.DataCentres, func(a, b tlwire.DataCentre) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Services, func(a, b tlwire.Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Pools, func(a, b tlwire.Pool) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Organisations, func(a, b tlwire.Organisation) int { return cmp.Compare(a.Name, b.Name) })
	return c
}
