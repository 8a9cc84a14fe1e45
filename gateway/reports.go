package gateway

import (
	"context"
	"sync"
	"time"

	"trefoillanding/core/tlendpoint"
)

const (
	// reportEvery is the time between questions for an engine's load: each is priced as a health check.
	reportEvery = time.Second
	// reportWithin bounds one question.
	reportWithin = 500 * time.Millisecond
)

// askReports asks the decode engines of the services whose home this instance is for their load.
func (i *Instance) askReports(ctx context.Context) {
	t := time.NewTicker(reportEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, service := range i.orderedServices() {
			if i.desk.IsInUse(service) {
				i.askService(ctx, service)
			}
		}
	}
}

func (i *Instance) askService(ctx context.Context, service string) {
	ctx, stop := context.WithTimeout(ctx, reportWithin)
	defer stop()
	var asking sync.WaitGroup
	for _, e := range i.directory.Endpoints(service) {
		if e.Role != tlendpoint.Decode || e.IsDraining {
			continue
		}
		asking.Go(func() {
			l, err := i.loadOf(ctx, e)
			if err != nil {
				i.counters.endpoints.Count(reportsFailed)
				return
			}
			i.desk.Reported(service, e.ID, l.Held)
		})
	}
	asking.Wait()
}
