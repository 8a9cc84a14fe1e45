package tlstandin

import (
	"context"
	"net/http"
	"net/netip"
	"slices"

	"trefoillanding/core/tlwire"
)

// Deployment runs the stand-ins of a whole configuration.
type Deployment struct {
	// Platform is the platform's stand-in.
	Platform *Platform
	// Engines holds the engines by name.
	Engines map[string]*Engine
	// Plains holds the endpoints of plain services by name.
	Plains map[string]*Plain

	config  tlwire.Config
	address netip.AddrPort
	servers map[string]*Server
	list    []tlwire.Instance
	done    chan struct{}
}

// platformServer is the key of the platform among the servers.
const platformServer = ""

// NewDeployment listens at every address of a configuration, and puts its
// endpoints and the entry instances on the platform's instance list; an address
// with port 0 gets one that is free.
func NewDeployment(c tlwire.Config, platform netip.AddrPort, entries []tlwire.Instance, b Behaviour) (*Deployment, error) {
	d := &Deployment{
		Platform: NewPlatform(NewPlatformLimits()),
		Engines:  map[string]*Engine{},
		Plains:   map[string]*Plain{},
		config:   c,
		servers:  map[string]*Server{},
		list:     slices.Clone(entries),
		done:     make(chan struct{}),
	}
	err := d.start(platform, b)
	if err != nil {
		d.Close()
		return nil, err
	}
	d.Platform.SetInstances(d.list)
	return d, nil
}

// Config returns the configuration with the addresses in use.
func (d *Deployment) Config() tlwire.Config {
	return d.config
}

// Address returns where the platform listens.
func (d *Deployment) Address() netip.AddrPort {
	return d.address
}

// Servers returns the addresses in use by the endpoints' names.
func (d *Deployment) Servers() map[string]netip.AddrPort {
	m := map[string]netip.AddrPort{}
	for n, s := range d.servers {
		if n != platformServer {
			m[n] = s.Address()
		}
	}
	return m
}

// PiecesHeld returns the memory in use at all engines.
func (d *Deployment) PiecesHeld() int {
	n := 0
	for _, e := range d.Engines {
		n += e.PiecesHeld()
	}
	return n
}

// Probe makes the platform keep its instance list true by asking everyone for
// its health, until the context ends.
func (d *Deployment) Probe(x context.Context, t ProbeTimes) *Prober {
	p := NewProber(d.Platform, t)
	go p.Run(x)
	return p
}

// CloseServer stops listening for one endpoint, and cuts its connections.
func (d *Deployment) CloseServer(name string) {
	s := d.servers[name]
	if s != nil {
		s.Close()
	}
}

// Runs counts the calls with a key, a Reference or a whole body at all plain
// endpoints.
func (d *Deployment) Runs(key string) int {
	n := 0
	for _, p := range d.Plains {
		n += p.Runs(key)
	}
	return n
}

// Close ends everything.
func (d *Deployment) Close() {
	for _, e := range d.Engines {
		e.Close()
	}
	for _, s := range d.servers {
		s.Close()
	}
	close(d.done)
}

// Done is closed when everything has ended.
func (d *Deployment) Done() <-chan struct{} {
	return d.done
}

func (d *Deployment) start(platform netip.AddrPort, b Behaviour) error {
	var err error
	d.address, err = d.listen(platformServer, platform, d.Platform)
	if err != nil {
		return err
	}
	d.config.Pools = slices.Clone(d.config.Pools)
	for i := range d.config.Pools {
		err = d.startPool(&d.config.Pools[i], b)
		if err != nil {
			return err
		}
	}
	d.config.Services = slices.Clone(d.config.Services)
	for i := range d.config.Services {
		err = d.startService(&d.config.Services[i])
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startPool(p *tlwire.Pool, b Behaviour) error {
	if p.PieceTokens > 0 {
		b.PieceTokens = p.PieceTokens
	}
	if p.LinkBytesPerSecond > 0 {
		b.LinkBytesPerSecond = p.LinkBytesPerSecond
	}
	p.Engines = slices.Clone(p.Engines)
	for i := range p.Engines {
		c := &p.Engines[i]
		e := NewEngine(*c, d.models(p.Service), b)
		d.Engines[c.Name] = e
		a, err := d.listen(c.Name, c.Address, e)
		if err != nil {
			return err
		}
		c.Address = a
		e.setAddress(a)
		d.add(c.Name, p.DataCentre, a)
	}
	return nil
}

func (d *Deployment) startService(s *tlwire.Service) error {
	s.Endpoints = slices.Clone(s.Endpoints)
	for i := range s.Endpoints {
		c := &s.Endpoints[i]
		p := NewPlain(c.Name)
		d.Plains[c.Name] = p
		a, err := d.listen(c.Name, c.Address, p)
		if err != nil {
			return err
		}
		c.Address = a
		d.add(c.Name, c.DataCentre, a)
	}
	return nil
}

func (d *Deployment) listen(name string, a netip.AddrPort, h http.Handler) (netip.AddrPort, error) {
	s, err := Listen(a, h)
	if err != nil {
		return netip.AddrPort{}, err
	}
	d.servers[name] = s
	return s.Address(), nil
}

func (d *Deployment) add(name, dataCentre string, a netip.AddrPort) {
	d.list = append(d.list, tlwire.Instance{
		Name:       name,
		Kind:       tlwire.InstanceKindEndpoint,
		DataCentre: dataCentre,
		Address:    a,
		State:      tlwire.InstanceStateLive,
	})
}

func (d *Deployment) models(service string) []tlwire.Model {
	for _, s := range d.config.Services {
		if s.Name == service {
			return s.Models
		}
	}
	return nil
}
