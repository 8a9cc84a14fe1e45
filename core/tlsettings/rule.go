package tlsettings

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"trefoillanding/core/tlwire"
)

// rule fills in and checks one field; check returns what is wrong with it.
type rule struct {
	path  string
	fill  func(*tlwire.Settings)
	check func(*tlwire.Settings) string
}

func noFill(*tlwire.Settings) {}

func ranged[T cmp.Ordered](path string, field func(*tlwire.Settings) *T, std, low, high T) rule {
	return rule{
		path: path,
		fill: func(s *tlwire.Settings) { *field(s) = std },
		check: func(s *tlwire.Settings) string {
			v := *field(s)
			if v < low || v > high {
				return fmt.Sprintf("must be from %v to %v, but is %v", low, high, v)
			}
			return ""
		},
	}
}

func oneOf(path string, field func(*tlwire.Settings) *string, std string, others ...string) rule {
	all := append([]string{std}, others...)
	return rule{
		path: path,
		fill: func(s *tlwire.Settings) { *field(s) = std },
		check: func(s *tlwire.Settings) string {
			if !slices.Contains(all, *field(s)) {
				return fmt.Sprintf("must be one of %s, but is %q", strings.Join(all, ", "), *field(s))
			}
			return ""
		},
	}
}

func named(path string, field func(*tlwire.Settings) string) rule {
	return rule{
		path: path,
		fill: noFill,
		check: func(s *tlwire.Settings) string {
			if strings.TrimSpace(field(s)) == "" {
				return "must not be empty"
			}
			return ""
		},
	}
}

func listening(path string, field func(*tlwire.Settings) netip.AddrPort) rule {
	return rule{
		path: path,
		fill: noFill,
		check: func(s *tlwire.Settings) string {
			a := field(s)
			if a.IsValid() && a.Addr().IsUnspecified() {
				return "must name the instance's own IP address, because others are told it"
			}
			return ""
		},
	}
}

// together says that the field at path needs the other one to be set too.
func together(path string, field, other func(*tlwire.Settings) string, name string) rule {
	return rule{
		path: path,
		fill: noFill,
		check: func(s *tlwire.Settings) string {
			if field(s) != "" && other(s) == "" {
				return "needs " + name + " to be set too"
			}
			return ""
		},
	}
}
