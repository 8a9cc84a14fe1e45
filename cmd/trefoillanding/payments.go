package main

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"trefoillanding/io/tlload"
)

func paymentsCommand() *cli.Command {
	return &cli.Command{
		Name:  "payments",
		Usage: "send calls that must not repeat to several instances at once, and compare the answers with the stand-ins' records",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "instance", Usage: "IP:PORT of an instance; repeatable", Required: true},
			&cli.StringSliceFlag{Name: "endpoint", Usage: "IP:PORT of a stand-in of the service; repeatable", Required: true},
			&cli.StringFlag{Name: "service", Usage: "the service to call", Value: "order-desk"},
			&cli.StringFlag{Name: "path", Usage: "the path to post to", Value: "/payments"},
			&cli.IntFlag{Name: "calls", Usage: "how many calls in all", Value: 1000},
			&cli.FloatFlag{Name: "rate", Usage: "how many calls a second", Value: 100},
			&cli.IntFlag{Name: "rounds", Usage: "how often a call without an answer is sent", Value: 10},
			&cli.DurationFlag{Name: "between", Usage: "the time between two rounds of a call", Value: 2 * time.Second},
			&cli.DurationFlag{Name: "timeout", Usage: "how long the whole load may take", Value: 10 * time.Minute},
		},
		Action: payments,
	}
}

func payments(ctx context.Context, c *cli.Command) error {
	ctx, stop := context.WithTimeout(ctx, c.Duration("timeout"))
	defer stop()
	p := tlload.PaymentPlan{
		Service:       c.String("service"),
		Path:          c.String("path"),
		Calls:         c.Int("calls"),
		Rate:          c.Float("rate"),
		Rounds:        c.Int("rounds"),
		RoundInterval: c.Duration("between"),
	}
	if p.Calls < 1 || p.Calls > maxLoadRequests || p.Rate <= 0 || p.Rounds < 1 {
		return usagef("--calls must be from 1 to %d, --rate and --rounds above 0", maxLoadRequests)
	}
	var err error
	if p.Instances, err = addresses(c.StringSlice("instance")); err != nil {
		return usagef("--instance: %v", err)
	}
	if p.Endpoints, err = addresses(c.StringSlice("endpoint")); err != nil {
		return usagef("--endpoint: %v", err)
	}
	s, err := tlload.RunPayments(ctx, p)
	if err != nil {
		return err
	}
	s.Print(os.Stdout)
	if !s.IsCorrect() {
		return errors.New("a call ran more than once, or its caller received a false answer or verdict")
	}
	return nil
}

func addresses(names []string) ([]netip.AddrPort, error) {
	var all []netip.AddrPort
	for _, n := range names {
		a, err := netip.ParseAddrPort(n)
		if err != nil {
			return nil, err
		}
		all = append(all, a)
	}
	return all, nil
}
