package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"github.com/zeromicro/go-zero/core/logx"

	"trefoillanding/io/tlexperiment"
)

func main() {
	os.Exit(run(os.Args))
}

// run executes one command line and returns the exit code.
func run(args []string) int {
	logx.Disable()
	err := command().Run(context.Background(), args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, err)
	return exitCode(err)
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "trefoillanding",
		Usage: "route requests to separate prefill and decode pools",
		Description: "Every instance runs `serve`. Operators apply declarative files through any\n" +
			"instance. Exit codes: 0 done, 1 failed, 2 wrong usage or settings.",
		Commands: []*cli.Command{
			serveCommand(),
			checkCommand(),
			applyCommand(),
			getCommand(),
			statusCommand(),
			demoCommand(),
			loadCommand(),
			paymentsCommand(),
			tlexperiment.Command(os.Stdout),
			standinCommand(),
		},
		Before:          restoreSignals,
		OnUsageError:    usageFailed,
		CommandNotFound: commandNotFound,
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return usagef("unknown command %q; see trefoillanding --help", c.Args().First())
			}
			return cli.ShowRootCommandHelp(c)
		},
	}
}

func usageFailed(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usagef("%v; see --help", err)
}

func commandNotFound(_ context.Context, _ *cli.Command, name string) {
	fmt.Fprintf(os.Stderr, "unknown command %q; see trefoillanding --help\n", name)
}

// restoreSignals lets Ctrl-C end a command at once: the HTTP library handles signals as
// soon as it is imported and would end the process only 5.5 s later.
func restoreSignals(ctx context.Context, _ *cli.Command) (context.Context, error) {
	signal.Reset(syscall.SIGTERM, syscall.SIGINT)
	return ctx, nil
}
