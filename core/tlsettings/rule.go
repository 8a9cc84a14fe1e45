package tlsettings

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"trefoillanding/core/tlwire"
)

// rule sets the default of one field and checks it; check returns a message, or "" if valid.
type rule struct {
	path       string
	setDefault func(*tlwire.Settings)
	check      func(*tlwire.Settings) string
}

func noDefault(*tlwire.Settings) {}

func inRange[T cmp.Ordered](path string, field func(*tlwire.Settings) *T, def, low, high T) rule {
	return rule{
		path:       path,
		setDefault: func(s *tlwire.Settings) { *field(s) = def },
		check: func(s *tlwire.Settings) string {
			v := *field(s)
			if v < low || v > high {
				return fmt.Sprintf("must be from %v to %v, but is %v", low, high, v)
			}
			return ""
		},
	}
}

func oneOf(path string, field func(*tlwire.Settings) *string, def string, others ...string) rule {
	all := append([]string{def}, others...)
	return rule{
		path:       path,
		setDefault: func(s *tlwire.Settings) { *field(s) = def },
		check: func(s *tlwire.Settings) string {
			if !slices.Contains(all, *field(s)) {
				return fmt.Sprintf("must be one of %s, but is %q", strings.Join(all, ", "), *field(s))
			}
			return ""
		},
	}
}

func notBlank(path string, field func(*tlwire.Settings) string) rule {
	return rule{
		path:       path,
		setDefault: noDefault,
		check: func(s *tlwire.Settings) string {
			if strings.TrimSpace(field(s)) == "" {
				return "must not be empty"
			}
			return ""
		},
	}
}

func specificAddress(path string, field func(*tlwire.Settings) netip.AddrPort) rule {
	return rule{
		path:       path,
		setDefault: noDefault,
		check: func(s *tlwire.Settings) string {
			a := field(s)
			if a.IsValid() && a.Addr().IsUnspecified() {
				return "must name the instance's own IP address, because it is advertised to other instances"
			}
			return ""
		},
	}
}

// requires returns the rule that the field at path can be set only together with the other one.
func requires(path string, field, other func(*tlwire.Settings) string, name string) rule {
	return rule{
		path:       path,
		setDefault: noDefault,
		check: func(s *tlwire.Settings) string {
			if field(s) != "" && other(s) == "" {
				return "needs " + name + " to be set too"
			}
			return ""
		},
	}
}
