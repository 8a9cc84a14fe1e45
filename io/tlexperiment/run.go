package tlexperiment

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"

	"trefoillanding/core/tlbaseline"
	"trefoillanding/core/tltrial"
	"trefoillanding/core/tlwire"
	"trefoillanding/core/tlworkload"
	"trefoillanding/io/tlreport"
)

// progressEvery is the time between two lines of progress.
const progressEvery = 5 * time.Second

// workersShare is the part of the processors that a run takes.
const workersShare = 0.5

// oracleName is the policy that the others are compared with.
const oracleName = "Oracle"

type task struct {
	row     int
	setting tltrial.Setting
}

// Run runs every cell of the matrix over all seeds, tells its progress and
// writes the table to w, and the CSV and plots to the folder unless it is empty.
func Run(ctx context.Context, x tlwire.Experiment, folder string, w io.Writer) error {
	rows, tasks := plan(x)
	fmt.Fprintf(w, "%s: decode capacity %.2f requests/s, %.1f streams in a full engine, prefill engines %.0f%% busy without caches; %d runs\n",
		x.Name, tlworkload.Capacity(x), tlworkload.StreamsPerEngine(x), 100*tlworkload.PrefillShare(x), len(tasks))
	if err := runAll(ctx, rows, tasks, w); err != nil {
		return err
	}
	if err := tlreport.WriteTable(w, rows); err != nil {
		return err
	}
	if folder == "" {
		return nil
	}
	return tlreport.WriteFiles(folder, x.Name, rows)
}

func plan(x tlwire.Experiment) ([]*tlreport.Row, []task) {
	var rows []*tlreport.Row
	var tasks []task
	capacity := tlworkload.Capacity(x)
	for _, a := range x.Arrivals {
		for _, c := range x.Conditions {
			for _, l := range x.Loads {
				s := tltrial.Setting{Experiment: x, Capacity: capacity, Load: l, Arrivals: a, Condition: c}
				cell, t := planCell(s, len(rows))
				rows = append(rows, cell...)
				tasks = append(tasks, t...)
			}
		}
	}
	return rows, tasks
}

// planCell plans the runs of every policy under the same conditions.
func planCell(s tltrial.Setting, first int) ([]*tlreport.Row, []task) {
	var rows []*tlreport.Row
	var tasks []task
	var oracle *tlreport.Row
	for i, n := range s.Experiment.Policies {
		s.Policy, _ = tlbaseline.Find(n)
		tasks = append(tasks, overSeeds(s, s.Experiment.Seeds, first+i)...)
		r := &tlreport.Row{Arrivals: s.Arrivals, Condition: s.Condition, Load: s.Load, Policy: n}
		rows = append(rows, r)
		if n == oracleName {
			oracle = r
		}
	}
	for _, r := range rows {
		r.Oracle = oracle
	}
	return rows, tasks
}

func overSeeds(s tltrial.Setting, seeds, row int) []task {
	var l []task
	for i := range seeds {
		s.Seed = uint64(i + 1)
		l = append(l, task{row: row, setting: s})
	}
	return l
}

// runAll runs the tasks with a pool of workers; results are merged in the
// order of the tasks, so that the outcome does not depend on timing.
func runAll(ctx context.Context, rows []*tlreport.Row, tasks []task, w io.Writer) error {
	results := make([]*tltrial.Result, len(tasks))
	next := make(chan int)
	ended := make(chan struct{}, len(tasks))
	var workers sync.WaitGroup
	for range max(1, int(float64(runtime.GOMAXPROCS(0))*workersShare)) {
		workers.Go(func() {
			for i := range next {
				results[i] = tltrial.New(tasks[i].setting).Run()
				ended <- struct{}{}
			}
		})
	}
	watched := make(chan struct{})
	go watch(w, len(tasks), ended, watched)
	for i := range tasks {
		if ctx.Err() != nil {
			break
		}
		next <- i
	}
	close(next)
	workers.Wait()
	close(ended)
	<-watched
	if ctx.Err() != nil {
		return ctx.Err()
	}
	for i, r := range results {
		rows[tasks[i].row].Add(r)
	}
	return nil
}

// watch prints a line of progress now and then until every run has ended.
func watch(w io.Writer, total int, ended <-chan struct{}, done chan<- struct{}) {
	defer close(done)
	start := time.Now()
	last := start
	n := 0
	for range ended {
		n++
		if now := time.Now(); now.Sub(last) >= progressEvery {
			last = now
			left := time.Duration(float64(now.Sub(start)) / float64(n) * float64(total-n))
			fmt.Fprintf(w, "%d of %d runs, about %s left\n", n, total, left.Round(time.Second))
		}
	}
}
