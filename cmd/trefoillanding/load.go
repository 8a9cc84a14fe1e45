package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"trefoillanding/io/tlload"
	"trefoillanding/io/tlstandin"
)

// maxLoadRequests is the maximum number of requests or calls of one load.
const maxLoadRequests = 1_000_000

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "put a bounded load of streamed completions on running instances and check every answer of the stand-ins",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "instance", Usage: "IP:PORT of an instance to ask first; repeatable", Value: []string{"127.0.0.1:8101"}},
			&cli.StringFlag{Name: "service", Usage: "the service to call", Value: "kiosk-llm"},
			&cli.IntFlag{Name: "requests", Usage: "how many requests in all", Value: 100},
			&cli.FloatFlag{Name: "rate", Usage: "how many requests a second", Value: 20},
			&cli.IntFlag{Name: "prompt", Usage: "tokens of a prompt", Value: 500},
			&cli.IntFlag{Name: "answer", Usage: "tokens of an answer", Value: 100},
			&cli.IntFlag{Name: "tries", Usage: "how often a request is tried", Value: 20},
			&cli.DurationFlag{Name: "give-up", Usage: "how long a caller waits for its whole answer", Value: time.Minute},
			&cli.DurationFlag{Name: "timeout", Usage: "how long the whole load may take", Value: 10 * time.Minute},
		},
		Action: load,
	}
}

func load(ctx context.Context, c *cli.Command) error {
	ctx, stop := context.WithTimeout(ctx, c.Duration("timeout"))
	defer stop()
	p := tlload.Plan{
		Service:        c.String("service"),
		Requests:       c.Int("requests"),
		Rate:           c.Float("rate"),
		PromptTokens:   c.Int("prompt"),
		MaxTokens:      c.Int("answer"),
		Tries:          c.Int("tries"),
		RequestTimeout: c.Duration("give-up"),
		Check: func(prompt, text string, tokens int) bool {
			return text == tlstandin.Answer(prompt, 0, tokens)
		},
	}
	if p.Requests < 1 || p.Requests > maxLoadRequests || p.Rate <= 0 {
		return usagef("--requests must be from 1 to %d, --rate above 0", maxLoadRequests)
	}
	var err error
	if p.BootstrapInstances, err = addresses(c.StringSlice("instance")); err != nil {
		return usagef("--instance: %v", err)
	}
	s := tlload.Run(ctx, p)
	s.Print(os.Stdout)
	if s.Completed != p.Requests || s.Wrong > 0 {
		return fmt.Errorf("%d of %d answers were incomplete or wrong", p.Requests-s.Completed+s.Wrong, p.Requests)
	}
	return nil
}
