package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check declarative files as a whole, or settings with --settings",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "settings", Usage: "the files are settings of instances"},
		},
		Action: check,
	}
}

func check(_ context.Context, c *cli.Command) error {
	names := c.Args().Slice()
	if c.Bool("settings") {
		return checkSettings(names)
	}
	config, _, err := readConfig(names)
	if err != nil {
		return err
	}
	d := config.Declared
	fmt.Printf("valid: %d services, %d pools, %d organisations\n", len(d.Services), len(d.Pools), len(d.Organisations))
	return nil
}

func checkSettings(names []string) error {
	if len(names) == 0 {
		return usagef("name at least one file")
	}
	for _, n := range names {
		if _, err := readSettings(n); err != nil {
			return err
		}
	}
	fmt.Printf("valid: settings of %d instances\n", len(names))
	return nil
}
