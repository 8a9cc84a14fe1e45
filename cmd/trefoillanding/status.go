package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"trefoillanding/core/tlwire"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show instances, pools, queues and the generation in force",
		Flags: append(instanceFlags(),
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		),
		Action: status,
	}
}

func status(ctx context.Context, c *cli.Command) error {
	s, err := callOperator[tlwire.Status](ctx, c, http.MethodGet, "/v1/operator/status", nil)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(s)
	}
	return printStatus(os.Stdout, s)
}

func printStatus(w io.Writer, s tlwire.Status) error {
	fmt.Fprintf(w, "instance %s, generation %d (known to be the latest %s ago), %d open requests, %d keys known\n\n",
		s.Name, s.Generation, s.Age.Round(time.Millisecond), s.Open, s.Claims)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "INSTANCE\tDATA CENTRE\tSTATE\tGENERATION\tOPEN")
	for _, i := range s.Instances {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\n", i.Name, i.DataCentre, i.State, i.Generation, i.Open)
	}
	fmt.Fprintln(t, "\nPOOL\tSERVICE\tHOME\tWAITING\tWAIT\tPIECES FREE")
	for _, p := range s.Pools {
		m := tlwire.PoolSummary{}
		if p.Summary != nil {
			m = *p.Summary
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%d of %d\n", p.Pool, p.Service, p.Home, m.Waiting, m.Wait, m.PiecesFree, m.PiecesTotal)
	}
	return t.Flush()
}
