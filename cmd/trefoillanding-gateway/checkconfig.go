package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"trefoillanding/core/tlconfigcheck"
	"trefoillanding/core/tlsettings"
	"trefoillanding/core/tlwire"
	"trefoillanding/gateway"
)

// stdin is the name of a file that stands for the standard input.
const stdin = "-"

func checkConfigCommand() *cli.Command {
	return &cli.Command{
		Name:      "check-config",
		Usage:     "check a configuration before it is sent; the exit status is 1 if something is wrong",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "also list what differs from the configuration in `FILE`; - reads the standard input"},
			&cli.StringFlag{Name: "settings", Usage: "the instances' settings `FILE`, for the retry budget; by default it has the usual one"},
			&cli.IntFlag{Name: "instances", Value: 1, Usage: "the `NUMBER` of instances that share the retry budget"},
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
		},
		Action: checkConfig,
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return cli.Exit(err, exitUsage)
		},
	}
}

func checkConfig(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 || c.Int("instances") < 1 {
		return cli.Exit("name one configuration, and at least one instance", exitUsage)
	}
	s, err := gatewaySettings(c.String("settings"))
	if err != nil {
		return err
	}
	data, err := os.ReadFile(c.Args().First())
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	against, err := readOther(c)
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	r, err := gateway.CheckConfig(data, against, s, c.Int("instances"))
	if err != nil {
		return cli.Exit(fmt.Errorf("%s: %w", c.String("against"), err), exitUsage)
	}
	if err := printReport(c.Root().Writer, r, c.Bool("json")); err != nil {
		return cli.Exit(err, exitUsage)
	}
	if len(r.Findings) > 0 {
		return cli.Exit("", exitFailed)
	}
	return nil
}

// gatewaySettings returns the settings in a file, or the defaults if none is named.
func gatewaySettings(name string) (tlwire.GatewaySettings, error) {
	if name == "" {
		return *tlsettings.Default().Gateway, nil
	}
	s, err := readSettings(name)
	if err != nil {
		return tlwire.GatewaySettings{}, err
	}
	return *s.Gateway, nil
}

// readOther returns the configuration to compare with; nil if none is named.
func readOther(c *cli.Command) ([]byte, error) {
	if !c.IsSet("against") {
		return nil, nil
	}
	if name := c.String("against"); name != stdin {
		return os.ReadFile(name)
	}
	b, err := io.ReadAll(c.Root().Reader)
	if b == nil {
		b = []byte{}
	}
	return b, err
}

func printReport(w io.Writer, r tlconfigcheck.Report, asJSON bool) error {
	if !asJSON {
		_, err := io.WriteString(w, r.String())
		return err
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
