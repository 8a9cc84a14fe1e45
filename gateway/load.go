package gateway

import (
	"context"
	"sync"
	"time"

	"trefoillanding/core/tlendpoint"
)

const (
	// loadPollInterval is the time between load queries to an engine: each is priced as a health check.
	loadPollInterval = time.Second
	// loadPollTimeout bounds the load queries to the engines of one service.
	loadPollTimeout = 500 * time.Millisecond
)

// pollEngineLoads queries the load of the decode engines of the services that are in use and whose home this instance is.
func (i *Instance) pollEngineLoads(ctx context.Context) {
	t := time.NewTicker(loadPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, service := range i.homeServices() {
			if i.coordinator.IsInUse(service) {
				i.pollServiceLoads(ctx, service)
			}
		}
	}
}

func (i *Instance) pollServiceLoads(ctx context.Context, service string) {
	ctx, stop := context.WithTimeout(ctx, loadPollTimeout)
	defer stop()
	var asking sync.WaitGroup
	for _, e := range i.directory.Endpoints(service) {
		if e.Role != tlendpoint.Decode || e.IsDraining {
			continue
		}
		asking.Go(func() {
			l, err := i.engineLoad(ctx, e)
			if err != nil {
				i.counters.endpoints.Count(reportsFailed)
				return
			}
			i.coordinator.RecordHeldMemory(service, e.ID, l.HeldTokens)
		})
	}
	asking.Wait()
}
