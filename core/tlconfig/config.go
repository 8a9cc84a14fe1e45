package tlconfig

import (
	"trefoillanding/core/tlwire"
)

// Config is a declared configuration with its lookups; it never changes.
type Config struct {
	Declared tlwire.Config

	services map[string]tlwire.Service
	targets  map[string]Target
	pools    map[string]tlwire.Pool
	byUse    map[string][]tlwire.Pool
	ends     map[string]bool
	names    map[string]tlwire.Organisation
	tokens   map[string]tlwire.Organisation
}

// New returns the lookups over a configuration; absent bounds get their defaults.
func New(c tlwire.Config) *Config {
	n := &Config{
		Declared: c,
		services: map[string]tlwire.Service{},
		targets:  map[string]Target{},
		pools:    map[string]tlwire.Pool{},
		byUse:    map[string][]tlwire.Pool{},
		ends:     map[string]bool{},
		names:    map[string]tlwire.Organisation{},
		tokens:   map[string]tlwire.Organisation{},
	}
	for _, s := range c.Services {
		n.addService(withDefaults(s))
	}
	for _, p := range c.Pools {
		p = withPoolDefaults(p)
		n.pools[p.Name] = p
		n.byUse[p.Service] = append(n.byUse[p.Service], p)
		for _, e := range p.Engines {
			n.ends[e.Name] = true
		}
	}
	for _, o := range c.Organisations {
		n.addOrganisation(o)
	}
	return n
}

func (c *Config) addService(s tlwire.Service) {
	c.services[s.Name] = s
	for _, e := range s.Endpoints {
		c.ends[e.Name] = true
	}
	for _, m := range s.Models {
		for _, a := range m.Adapters {
			c.targets[a] = Target{Service: s, Model: m, Adapter: a}
		}
		c.targets[m.Name] = Target{Service: s, Model: m}
	}
	if len(s.Models) > 0 {
		c.targets[s.Name] = Target{Service: s, Model: s.Models[0]}
	}
}

func (c *Config) addOrganisation(o tlwire.Organisation) {
	if o.Weight == 0 {
		o.Weight = 1
	}
	c.names[o.Name] = o
	if o.Token != "" {
		c.tokens[o.Token] = o
	}
}

// Service returns the service of that name.
func (c *Config) Service(name string) (tlwire.Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// HasEndpoint says whether an engine or a plain service's endpoint has that name.
func (c *Config) HasEndpoint(name string) bool {
	return c.ends[name]
}

// Pool returns the pool of that name.
func (c *Config) Pool(name string) (tlwire.Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// PoolsOf returns the pools that serve a service, in order of their names.
func (c *Config) PoolsOf(service string) []tlwire.Pool {
	return c.byUse[service]
}

// EngineCount counts the engines of all pools that serve a service.
func (c *Config) EngineCount(service string) int {
	n := 0
	for _, p := range c.byUse[service] {
		n += len(p.Engines)
	}
	return n
}
