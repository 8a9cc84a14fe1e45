package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"trefoillanding/io/tlexperiment"
)

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:      "experiment",
		Usage:     "measure the policy under virtual time against the model of the engines",
		ArgsUsage: "FILE...",
		Flags:     tlexperiment.Flags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return tlexperiment.RunFiles(ctx, c, os.Stdout)
		},
	}
}
