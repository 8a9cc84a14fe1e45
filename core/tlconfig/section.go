package tlconfig

import (
	"cmp"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"trefoillanding/core/tlcodec"
	"trefoillanding/core/tlwire"
)

// section gives access to one list of a configuration, whose elements have unique names.
type section struct {
	name   string
	clone  func(c *tlwire.Config)
	put    func(c *tlwire.Config, name string, body cbor.RawMessage) error
	remove func(c *tlwire.Config, name string)
	items  func(c tlwire.Config) ([]tlwire.ConfigItem, error)
}

// sections holds all lists of a configuration.
var sections = []section{
	sectionOf("DataCentres",
		func(c *tlwire.Config) *[]tlwire.DataCentre { return &c.DataCentres },
		func(d tlwire.DataCentre) string { return d.Name }),
	sectionOf("Services",
		func(c *tlwire.Config) *[]tlwire.Service { return &c.Services },
		func(s tlwire.Service) string { return s.Name }),
	sectionOf("Pools",
		func(c *tlwire.Config) *[]tlwire.Pool { return &c.Pools },
		func(p tlwire.Pool) string { return p.Name }),
	sectionOf("Organisations",
		func(c *tlwire.Config) *[]tlwire.Organisation { return &c.Organisations },
		func(o tlwire.Organisation) string { return o.Name }),
}

func sectionOf[T any](name string, list func(*tlwire.Config) *[]T, key func(T) string) section {
	search := func(l []T, k string) (int, bool) {
		return slices.BinarySearchFunc(l, k, func(t T, k string) int { return cmp.Compare(key(t), k) })
	}
	return section{
		name:  name,
		clone: func(c *tlwire.Config) { *list(c) = slices.Clone(*list(c)) },
		put: func(c *tlwire.Config, name string, body cbor.RawMessage) error {
			t, err := tlcodec.Decode[T](body)
			if err != nil {
				return err
			}
			if key(t) != name {
				return errNameMismatch
			}
			l := list(c)
			i, ok := search(*l, key(t))
			if ok {
				(*l)[i] = t
			} else {
				*l = slices.Insert(*l, i, t)
			}
			return nil
		},
		remove: func(c *tlwire.Config, name string) {
			l := list(c)
			if i, ok := search(*l, name); ok {
				*l = slices.Delete(*l, i, i+1)
			}
		},
		items: func(c tlwire.Config) ([]tlwire.ConfigItem, error) {
			var out []tlwire.ConfigItem
			for _, t := range *list(&c) {
				body, err := tlcodec.Encode(t)
				if err != nil {
					return nil, err
				}
				out = append(out, tlwire.ConfigItem{Section: name, Name: key(t), Body: body})
			}
			return out, nil
		},
	}
}

// sectionNamed returns the section with the given name, or false if only a later version has it.
func sectionNamed(name string) (section, bool) {
	i := slices.IndexFunc(sections, func(s section) bool { return s.name == name })
	if i < 0 {
		return section{}, false
	}
	return sections[i], true
}
