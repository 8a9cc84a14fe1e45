package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"trefoillanding"
	"trefoillanding/core/tlconfig"
	"trefoillanding/core/tlsettings"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlstandin"
)

// demoTimeout bounds the whole demonstration.
const demoTimeout = 50 * time.Second

// demoDataCentres are the data centres of the demonstration's instances.
var demoDataCentres = []string{"izmir", "bodrum", "ayvalik"}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "show the main job on loopback: instances, stand-ins and callers in one process",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "stay", Usage: "stay up afterwards and print the addresses"},
		},
		Action: demo,
	}
}

// demonstration holds the stand-ins and instances of a demo.
type demonstration struct {
	deployment *tlstandin.Deployment
	instances  []*trefoillanding.Instance
	settings   []tlwire.Settings
}

func demo(ctx context.Context, c *cli.Command) error {
	d, err := newDemonstration()
	if err != nil {
		return err
	}
	defer d.close()
	bounded, stop := context.WithTimeout(ctx, demoTimeout)
	defer stop()
	if err := d.show(bounded, os.Stdout); err != nil {
		return err
	}
	if !c.Bool("stay") {
		return nil
	}
	d.printAddresses(os.Stdout)
	ctx, end := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer end()
	<-ctx.Done()
	return nil
}

// newDemonstration starts the stand-ins of the Yengeç example and three instances.
func newDemonstration() (*demonstration, error) {
	config, err := exampleConfig()
	if err != nil {
		return nil, err
	}
	d := &demonstration{}
	if err := d.chooseSettings(); err != nil {
		return nil, err
	}
	var entries []tlwire.Instance
	for _, s := range d.settings {
		entries = append(entries, listedInstance(s))
	}
	useFreePorts(&config)
	d.deployment, err = tlstandin.NewDeployment(config, d.settings[0].Platform.Address, entries, tlstandin.NewBehaviour())
	if err != nil {
		return nil, err
	}
	return d, d.start()
}

func exampleConfig() (tlwire.Config, error) {
	const name = "examples/yengec/configuration.yaml"
	b, err := trefoillanding.Examples.ReadFile(name)
	if err != nil {
		return tlwire.Config{}, err
	}
	c, err := tlconfig.Parse(tlconfig.File{Name: name, Data: b})
	if err != nil {
		return tlwire.Config{}, err
	}
	return c.Declared, nil
}

// useFreePorts sets the address of every engine and endpoint to a free loopback port.
func useFreePorts(c *tlwire.Config) {
	loopback := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	for p := range c.Pools {
		for e := range c.Pools[p].Engines {
			c.Pools[p].Engines[e].Address = loopback
		}
	}
	for s := range c.Services {
		for e := range c.Services[s].Endpoints {
			c.Services[s].Endpoints[e].Address = loopback
		}
	}
}

// chooseSettings makes the settings of the instances and gives them and the platform free
// ports.
func (d *demonstration) chooseSettings() error {
	ports, err := freePorts(1 + 2*len(demoDataCentres))
	if err != nil {
		return err
	}
	for n, place := range demoDataCentres {
		s := tlsettings.Default()
		s.Name, s.DataCentre = place+"-1", place
		s.Platform.Address = ports[0]
		s.Listen, s.PeerListen = ports[1+2*n], ports[2+2*n]
		s.Security.EventKeys = []string{"a key that only the demonstration uses"}
		s.Log.Level = "error"
		d.settings = append(d.settings, s)
	}
	return nil
}

func freePorts(n int) ([]netip.AddrPort, error) {
	var ports []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return ports, nil
}

func (d *demonstration) start() error {
	l := logrus.New()
	l.SetLevel(logrus.ErrorLevel)
	for _, s := range d.settings {
		i, err := trefoillanding.New(s, l)
		if err != nil {
			return err
		}
		d.instances = append(d.instances, i)
	}
	return nil
}

func (d *demonstration) close() {
	for _, i := range d.instances {
		i.Close()
	}
	d.deployment.Close()
}

func (d *demonstration) printAddresses(w io.Writer) {
	for _, s := range d.settings {
		fmt.Fprintf(w, "%s serves callers and operators at http://%s\n", s.Name, s.Listen)
	}
	fmt.Fprintln(w, "press Ctrl-C to end")
}
