package gateway

import (
	"context"
	"sync"
	"time"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tllimit"
)

const (
	// loadPollInterval is the least time between load queries to an engine: each is priced as a health check.
	loadPollInterval = time.Second
	// loadPollTimeout bounds the load queries to the engines of one service.
	loadPollTimeout = 500 * time.Millisecond
)

// pollEngineLoads queries the load of the decode engines of the services that are in use and whose home this instance is.
func (i *Instance) pollEngineLoads(ctx context.Context) {
	t := time.NewTicker(loadPollInterval)
	defer t.Stop()
	polled := map[string]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, service := range i.homeServices() {
			if i.coordinator.IsInUse(service) {
				i.pollServiceLoads(ctx, service, polled)
			}
		}
	}
}

// mayPoll reports whether an engine's load may be queried; polled has when engines that
// name a limit were, which the queries must not use up.
func (i *Instance) mayPoll(e tlendpoint.Endpoint, polled map[string]time.Time) bool {
	rate, _, isLimited := i.directory.Limit(e)
	if !isLimited {
		delete(polled, e.ID)
		return true
	}
	now := time.Now()
	if now.Sub(polled[e.ID]) < tllimit.PollInterval(rate) {
		return false
	}
	polled[e.ID] = now
	return true
}

func (i *Instance) pollServiceLoads(ctx context.Context, service string, polled map[string]time.Time) {
	for id := range polled {
		if _, ok := i.directory.Find(id); !ok {
			delete(polled, id)
		}
	}
	ctx, stop := context.WithTimeout(ctx, loadPollTimeout)
	defer stop()
	var asking sync.WaitGroup
	for _, e := range i.directory.Endpoints(service) {
		isWanted := e.Role == tlendpoint.Decode && !e.IsDraining && i.coordinator.NeedsReport(service, e.ID)
		if !isWanted || !i.mayPoll(e, polled) {
			continue
		}
		asking.Go(func() {
			asked := time.Now()
			l, err := i.engineLoad(ctx, e)
			if err != nil {
				i.counters.endpoints.Count(reportsFailed)
				return
			}
			if l.Incarnation == e.Incarnation {
				i.directory.Confirm(asked, e)
			}
			i.coordinator.RecordHeldMemory(service, e.ID, l.HeldTokens)
		})
	}
	asking.Wait()
}
