package tlstandin

import (
	"context"
	"sync"
	"time"
)

const (
	// reportEvery is the time between load reports that are kept for the lag.
	reportEvery = 20 * time.Millisecond
	// reportsKept bounds the lag of load reports.
	reportsKept = 250
)

// run drives the engine until its context ends.
func (e *Engine) run(c context.Context) {
	defer close(e.done)
	var g sync.WaitGroup
	g.Go(func() { e.runPrefills(c) })
	g.Go(func() { e.runSteps(c) })
	g.Go(func() { e.runReports(c) })
	g.Wait()
}

// runSteps adds a token to every stream each TokenEvery.
func (e *Engine) runSteps(c context.Context) {
	t := time.NewTicker(max(e.set.TokenEvery, time.Microsecond))
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-t.C:
		case <-c.Done():
			return
		}
		n := int(time.Since(last) / e.set.TokenEvery)
		last = last.Add(time.Duration(n) * e.set.TokenEvery)
		if n > 0 {
			e.step(n)
		}
	}
}

// runReports keeps load reports and forgets old tombstones.
func (e *Engine) runReports(c context.Context) {
	t := time.NewTicker(reportEvery)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			e.keepReport(now)
		case <-c.Done():
			return
		}
	}
}

func (e *Engine) keepReport(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.reports = append(e.reports, e.report(now))
	if len(e.reports) > reportsKept {
		e.reports = e.reports[len(e.reports)-reportsKept:]
	}
	for a, t := range e.tombstones {
		if now.Sub(t) > tombstoneFor {
			delete(e.tombstones, a)
		}
	}
}
