package tlexperiment

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"trefoillanding/core/tlbaseline"
	"trefoillanding/core/tltrial"
	"trefoillanding/core/tlwire"
)

// Command returns the command that runs experiment files and writes to w.
func Command(w io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "experiment",
		Usage:     "run the decision code against fakes of engines under virtual time",
		ArgsUsage: "FILE...",
		Flags:     flags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return runFiles(ctx, c, w)
		},
	}
}

// flags returns the options; most of them restrict the matrix that a file declares.
func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "out", Usage: "write CSV and SVG into `FOLDER`"},
		&cli.IntFlag{Name: "seeds", Usage: "run only so many seeds"},
		&cli.FloatSliceFlag{Name: "load", Usage: "run only this load (may be repeated)"},
		&cli.StringSliceFlag{Name: "policy", Usage: "run only this policy (may be repeated)"},
		&cli.BoolFlag{Name: "ablation", Usage: "run the scheduler whole and without each of its mechanisms"},
		&cli.StringFlag{Name: "arrivals", Usage: "run only Poisson, Bursty or Surge arrivals"},
		&cli.StringFlag{Name: "condition", Usage: "run only this condition: Clean, Faulty, Unflooded, HomeLoss, TwoHomes or Storm"},
		&cli.DurationFlag{Name: "duration", Usage: "measure so much virtual time"},
		&cli.StringFlag{Name: "trace", Usage: "write every change of a request in the first run into `FILE`, and run nothing else"},
	}
}

// runFiles runs the experiment files named by the command's arguments, or writes
// a trace of the first if the trace flag is set.
func runFiles(ctx context.Context, c *cli.Command, w io.Writer) error {
	if c.Args().Len() == 0 {
		return errors.New("experiment: name at least one file")
	}
	for _, name := range c.Args().Slice() {
		file, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		x, err := Read(file)
		if err != nil {
			return err
		}
		if x, err = applyFlags(x, c); err != nil {
			return err
		}
		if n := c.String("trace"); n != "" {
			return traceFirstRun(x, n)
		}
		if err := Run(ctx, x, c.String("out"), w); err != nil {
			return err
		}
	}
	return nil
}

// applyFlags returns the experiment restricted by the command's flags.
func applyFlags(x tlwire.Experiment, c *cli.Command) (tlwire.Experiment, error) {
	if c.IsSet("seeds") {
		x.Seeds = c.Int("seeds")
	}
	if l := c.FloatSlice("load"); len(l) > 0 {
		x.Loads = l
	}
	if l := c.StringSlice("policy"); len(l) > 0 {
		x.Policies = l
	}
	if c.Bool("ablation") {
		x.Policies = []string{"Scheduler"}
		for _, m := range tlbaseline.Ablations() {
			x.Policies = append(x.Policies, m.Name)
		}
	}
	if s := c.String("arrivals"); s != "" {
		x.Arrivals = []tlwire.ArrivalKind{tlwire.ArrivalKind(s)}
	}
	if s := c.String("condition"); s != "" {
		x.Conditions = []tlwire.ConditionKind{tlwire.ConditionKind(s)}
	}
	if c.IsSet("duration") {
		x.Duration = c.Duration("duration")
	}
	return x, validate(x)
}

// traceFirstRun writes the trace of the matrix's first run into a file.
func traceFirstRun(x tlwire.Experiment, name string) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	defer f.Close()
	w := bufio.NewWriter(f)
	_, tasks := plan(x)
	s := tasks[0].setting
	s.Trace = func(at time.Duration, request, text string) {
		fmt.Fprintf(w, "%.4f %s %s\n", at.Seconds(), request, text)
	}
	tltrial.New(s).Run()
	if err := w.Flush(); err != nil {
		return err
	}
	return f.Close()
}
