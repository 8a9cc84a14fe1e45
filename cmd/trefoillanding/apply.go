package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"trefoillanding/core/tlwire"
)

const statusEvery = 100 * time.Millisecond

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "check files and put them in force as a whole",
		ArgsUsage: "FILE...",
		Flags: append(instanceFlags(),
			&cli.BoolFlag{Name: "wait", Usage: "end when the files are in force on every live instance"},
			&cli.DurationFlag{Name: "timeout", Usage: "how long --wait waits", Value: 30 * time.Second},
			&cli.Uint64Flag{Name: "base", Usage: "fail unless `GENERATION` is in force; 0 takes the present one"},
			&cli.StringFlag{Name: "nonce", Usage: "`NAME` under which a repetition of this apply is the same apply"},
		),
		Action: apply,
	}
}

func apply(ctx context.Context, c *cli.Command) error {
	_, files, err := readConfig(c.Args().Slice())
	if err != nil {
		return err
	}
	call := tlwire.ApplyCall{Nonce: c.String("nonce"), Base: c.Uint64("base")}
	if call.Nonce == "" {
		call.Nonce = uuid.NewString()
	}
	for _, f := range files {
		call.Files = append(call.Files, tlwire.ApplyFile{Name: f.Name, Data: f.Data})
	}
	a, err := ask[tlwire.ApplyAnswer](ctx, c, http.MethodPost, "/v1/operator/configuration", call)
	if err != nil {
		return fmt.Errorf("%w (repeat with --nonce %s to learn the outcome)", err, call.Nonce)
	}
	fmt.Printf("generation %d accepted\n", a.Generation)
	if !c.Bool("wait") {
		return nil
	}
	return waitInForce(ctx, c, a.Generation)
}

// waitInForce asks until every live instance has the generation, and names those that have not.
func waitInForce(ctx context.Context, c *cli.Command, generation uint64) error {
	ctx, stop := context.WithTimeout(ctx, c.Duration("timeout"))
	defer stop()
	start := time.Now()
	for {
		s, err := ask[tlwire.Status](ctx, c, http.MethodGet, "/v1/operator/status?Fresh=true", nil)
		behind := behindOf(s, generation)
		if err == nil && len(behind) == 0 {
			fmt.Printf("in force on %d instances after %s\n", len(s.Instances), time.Since(start).Round(time.Millisecond))
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("generation %d is not in force on %v", generation, behind)
		case <-time.After(statusEvery):
		}
	}
}

func behindOf(s tlwire.Status, generation uint64) []string {
	var behind []string
	for _, i := range s.Instances {
		if i.Generation < generation {
			behind = append(behind, i.Name)
		}
	}
	return behind
}
