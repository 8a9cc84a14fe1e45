package tlroute

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"trefoillanding/core/tlaccess"
)

// Table is one version of the configuration; it is immutable.
type Table struct {
	// Version increases with each configuration.
	Version uint64
	// Limits are the limits on callers' requests and connections.
	Limits Limits
	// Organisations knows the organisations and their keys.
	Organisations *tlaccess.Index

	byHost   map[string][]Route
	services map[string]Service
	// repeated has the names of services that are declared more than once.
	repeated []string
}

// New returns the table of a configuration; the error names the first invalid route.
func New(version uint64, routes []Route, services []Service, l Limits) (*Table, error) {
	t := &Table{
		Version: version,
		Limits:  l,

		Organisations: tlaccess.NoOrganisations(),

		byHost:   map[string][]Route{},
		services: map[string]Service{},
	}
	for _, s := range services {
		if _, ok := t.services[s.Name]; ok {
			t.repeated = append(t.repeated, s.Name)
		}
		t.services[s.Name] = s
	}
	for _, r := range routes {
		if err := validate(r); err != nil {
			return nil, fmt.Errorf("route %q: %w", r.Name, err)
		}
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return t, nil
}

func validate(r Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.New("the prefix must begin and end with a slash")
	}
	if len(r.Targets) == 0 {
		return errors.New("no service is named")
	}
	return nil
}

// Match returns the route of the host with the longest prefix of the path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.byHost[HostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Routes returns all routes, sorted by host; those of one host stand in the order in which
// they are matched.
func (t *Table) Routes() []Route {
	var list []Route
	for _, host := range slices.Sorted(maps.Keys(t.byHost)) {
		list = append(list, t.byHost[host]...)
	}
	return list
}

// RepeatedServices returns the names of services that are declared again; the last
// declaration of a name counts.
func (t *Table) RepeatedServices() []string {
	return t.repeated
}

// Service returns the service of a name; if it is not declared, only its Name is set.
func (t *Table) Service(name string) Service {
	s, ok := t.services[name]
	if !ok {
		return Service{Name: name}
	}
	return s
}

// Services returns the names of the declared services in no particular order.
func (t *Table) Services() []string {
	names := make([]string, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	return names
}

// EngineServices returns the services whose endpoints are model engines, sorted by name.
func (t *Table) EngineServices() []Service {
	var list []Service
	for _, s := range t.services {
		if s.Engine != nil {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b Service) int {
		return cmp.Compare(a.Name, b.Name)
	})
	return list
}

// HostName returns a host in lower case and without its port.
func HostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
