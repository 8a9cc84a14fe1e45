package tlstandin

import (
	"context"
	"maps"
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
	g.Go(func() { e.runTombstones(c) })
	g.Wait()
}

// runSteps adds a token to every stream each TokenEvery, from a moment that
// differs between engines, since they do not run in step.
func (e *Engine) runSteps(c context.Context) {
	phase := time.Duration(seedOf(e.name) % uint64(max(e.set.TokenEvery, 1)))
	last := time.Now().Add(phase)
	first := time.NewTimer(phase)
	defer first.Stop()
	select {
	case <-first.C:
	case <-c.Done():
		return
	}
	t := time.NewTicker(e.set.TokenEvery)
	defer t.Stop()
	var reported time.Time
	for {
		n := int(time.Since(last) / e.set.TokenEvery)
		last = last.Add(time.Duration(n) * e.set.TokenEvery)
		if n > 0 {
			e.step(n)
		}
		if last.Sub(reported) >= reportEvery {
			reported = last
			e.keepReport(last)
		}
		select {
		case <-t.C:
		case <-c.Done():
			return
		}
	}
}

// keepReport keeps a load report where reports lag.
func (e *Engine) keepReport(now time.Time) {
	lag := e.faults.Get().LoadLag
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if lag > 0 {
		e.reports = append(e.reports, e.report(now))
	}
	if len(e.reports) > reportsKept {
		e.reports = e.reports[len(e.reports)-reportsKept:]
	}
}

func (e *Engine) runTombstones(c context.Context) {
	t := time.NewTicker(tombstoneFor / 4)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			e.forgetTombstones(now)
		case <-c.Done():
			return
		}
	}
}

// forgetTombstones forgets cancels that nothing can come for any more.
func (e *Engine) forgetTombstones(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	maps.DeleteFunc(e.tombstones, func(_ string, t time.Time) bool { return now.Sub(t) > tombstoneFor })
}
