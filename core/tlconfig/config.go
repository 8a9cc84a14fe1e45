package tlconfig

import (
	"trefoillanding/core/tlwire"
)

// Config is an immutable declared configuration with lookup tables.
type Config struct {
	Declared tlwire.Config

	services             map[string]tlwire.Service
	targets              map[string]Target
	pools                map[string]tlwire.Pool
	poolsByService       map[string][]tlwire.Pool
	endpointNames        map[string]bool
	organisationsByName  map[string]tlwire.Organisation
	organisationsByToken map[string]tlwire.Organisation
}

// New builds the lookup tables of a configuration; missing bounds get their defaults.
func New(c tlwire.Config) *Config {
	n := &Config{
		Declared:             c,
		services:             map[string]tlwire.Service{},
		targets:              map[string]Target{},
		pools:                map[string]tlwire.Pool{},
		poolsByService:       map[string][]tlwire.Pool{},
		endpointNames:        map[string]bool{},
		organisationsByName:  map[string]tlwire.Organisation{},
		organisationsByToken: map[string]tlwire.Organisation{},
	}
	for _, s := range c.Services {
		n.addService(withDefaults(s))
	}
	for _, p := range c.Pools {
		p = withPoolDefaults(p)
		n.pools[p.Name] = p
		n.poolsByService[p.Service] = append(n.poolsByService[p.Service], p)
		for _, e := range p.Engines {
			n.endpointNames[e.Name] = true
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
		c.endpointNames[e.Name] = true
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
	c.organisationsByName[o.Name] = o
	if o.Token != "" {
		c.organisationsByToken[o.Token] = o
	}
}

// Service returns the service with the given name.
func (c *Config) Service(name string) (tlwire.Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// HasEndpoint reports whether an engine or an endpoint of a plain service has the given name.
func (c *Config) HasEndpoint(name string) bool {
	return c.endpointNames[name]
}

// Pool returns the pool with the given name.
func (c *Config) Pool(name string) (tlwire.Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// PoolsOf returns the pools that serve a service, sorted by name.
func (c *Config) PoolsOf(service string) []tlwire.Pool {
	return c.poolsByService[service]
}

// EngineCount returns the number of engines in all pools that serve a service.
func (c *Config) EngineCount(service string) int {
	n := 0
	for _, p := range c.poolsByService[service] {
		n += len(p.Engines)
	}
	return n
}
