// Command trefoillanding-experiment runs experiment files, one after the other.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/urfave/cli/v3"

	"trefoillanding/io/tlexperiment"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:      "trefoillanding-experiment",
		Usage:     "run the decision code against fakes of engines under virtual time",
		ArgsUsage: "FILE...",
		Flags:     tlexperiment.Flags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return tlexperiment.RunFiles(ctx, c, os.Stdout)
		},
	}
}
