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
	a, err := callOperator[tlwire.ApplyAnswer](ctx, c, http.MethodPost, "/v1/operator/configuration", call)
	if err != nil {
		return fmt.Errorf("%w (repeat with --nonce %s to learn the outcome)", err, call.Nonce)
	}
	fmt.Printf("generation %d accepted\n", a.Generation)
	if !c.Bool("wait") {
		return nil
	}
	return waitInForce(ctx, c, a.Generation)
}

// waitInForce waits until the generation is in force on every live instance; the error
// names those where it is not.
func waitInForce(ctx context.Context, c *cli.Command, generation uint64) error {
	start := time.Now()
	path := fmt.Sprintf("/v1/operator/in-force?Generation=%d&Wait=%s", generation, c.Duration("timeout"))
	s, err := callOperator[tlwire.InForceStatus](ctx, c, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if len(s.Behind) > 0 {
		return fmt.Errorf("generation %d is not in force on %v", generation, s.Behind)
	}
	fmt.Printf("in force on every live instance after %s\n", time.Since(start).Round(time.Millisecond))
	return nil
}
