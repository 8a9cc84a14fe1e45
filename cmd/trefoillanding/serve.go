package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"trefoillanding"
	"trefoillanding/io/tlentry"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry instance until SIGTERM, then drain it",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the instance's settings `FILE`"},
		},
		Action: serve,
	}
}

func serve(ctx context.Context, c *cli.Command) error {
	if !c.IsSet("settings") {
		return usagef("name the settings with --settings")
	}
	s, err := readSettings(c.String("settings"))
	if err != nil {
		return err
	}
	i, err := trefoillanding.New(s, newLog(s.Log))
	if err != nil {
		return usagef("%s: %v", c.String("settings"), err)
	}
	defer i.Close()
	signals := tlentry.TakeSignals()
	<-signals
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		<-signals
		stop()
	}()
	return i.Drain(ctx)
}
