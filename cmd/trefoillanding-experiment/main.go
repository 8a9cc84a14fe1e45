// Command trefoillanding-experiment runs experiment files, one after the other.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"trefoillanding/io/tlexperiment"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := tlexperiment.Command(os.Stdout).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
