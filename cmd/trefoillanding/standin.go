package main

import (
	"context"
	"fmt"
	"net/netip"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlstandin"
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:      "standin",
		Usage:     "run stand-ins of platform, engines and plain services on loopback, for trials",
		ArgsUsage: "CONFIGURATION...",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "settings", Usage: "settings `FILE` of an entry instance to put on the instance list; repeatable"},
		},
		Action: standin,
	}
}

func standin(ctx context.Context, c *cli.Command) error {
	config, _, err := readConfig(c.Args().Slice())
	if err != nil {
		return err
	}
	if !c.IsSet("settings") {
		return usagef("name the settings of at least one entry instance with --settings")
	}
	var entries []tlwire.Instance
	var platform netip.AddrPort
	for _, name := range c.StringSlice("settings") {
		s, err := readSettings(name)
		if err != nil {
			return err
		}
		platform = s.Platform.Address
		entries = append(entries, listedInstance(s))
	}
	d, err := tlstandin.NewDeployment(config.Declared, platform, entries, tlstandin.NewBehaviour())
	if err != nil {
		return err
	}
	defer d.Close()
	fmt.Printf("platform %s, %d engines and endpoints, %d entry instances listed\n", d.Address(), len(d.Servers()), len(entries))
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-d.Probe(ctx, tlstandin.NewProbeTimes()).Done()
	return nil
}

func listedInstance(s tlwire.Settings) tlwire.Instance {
	return tlwire.Instance{
		Name:        s.Name,
		Kind:        tlwire.InstanceKindEntry,
		DataCentre:  s.DataCentre,
		Address:     s.Listen,
		PeerAddress: s.PeerListen,
		State:       tlwire.InstanceStateLive,
	}
}
