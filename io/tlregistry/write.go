package tlregistry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"trefoillanding/core/tlcodec"
	"trefoillanding/core/tlorigin"
)

const (
	// maxPerRecord bounds the origins in one record of the log.
	maxPerRecord = 1000
	// minRetryDelay and maxRetryDelay bound the time after an append that failed; it
	// doubles with each failure in a row.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// Run appends the origins that the log does not have, and tells new homes, until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	defer close(r.done)
	var telling sync.WaitGroup
	telling.Go(func() { r.tellNewHomes(ctx) })
	telling.Go(func() { r.runGroupWriter(ctx) })
	defer telling.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
			r.writeAll(ctx)
		}
	}
}

// writeAll appends until the log has all origins.
func (r *Registry) writeAll(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		list := r.takeUnwritten()
		if len(list) == 0 {
			return
		}
		if err := r.writeTogether(ctx, list); err != nil {
			r.o.Count(WriteFailed)
			r.o.Log.WithField("Cause", err.Error()).Debug("origins not written yet")
			r.putBack(list)
			sleep(ctx, delay)
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		delay = minRetryDelay
		for range list {
			r.o.Count(Written)
		}
		sleep(ctx, r.o.CallInterval())
	}
}

// write appends origins as one record.
func (r *Registry) write(ctx context.Context, list []tlorigin.Origin) error {
	record, err := tlcodec.Encode(r.encode(list))
	if err != nil {
		return err
	}
	return r.o.Append(ctx, record)
}

// takeUnwritten returns origins to append, without those whose time is over.
func (r *Registry) takeUnwritten() []tlorigin.Origin {
	now := r.o.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.DeleteFunc(r.unwritten, func(o tlorigin.Origin) bool { return !now.Before(o.Until) })
	n := min(len(list), maxPerRecord)
	r.unwritten = slices.Clone(list[n:])
	r.writing = list[:n:n]
	return r.writing
}

func (r *Registry) putBack(list []tlorigin.Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unwritten = append(list, r.unwritten...)
	r.writing = nil
}

// Restore has all origins of this instance's streams written again, since the log has gone back.
func (r *Registry) Restore() {
	r.mu.Lock()
	r.unwritten = r.own.All(r.o.Now())
	r.mu.Unlock()
	r.signal()
}

// tellNewHomes tells each new home of a service of the origins of this instance's streams,
// and new holders of copies of those that the log does not have.
func (r *Registry) tellNewHomes(ctx context.Context) {
	t := time.NewTicker(homeCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			for _, service := range r.services() {
				r.checkHome(service)
			}
			r.renewCopies()
		}
	}
}

// services returns the services of which this instance has served streams.
func (r *Registry) services() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.homes))
}

// checkHome tells the home of a service of this instance's origins if it is a new one.
func (r *Registry) checkHome(service string) {
	home := r.o.Home(service)
	var list []tlorigin.Origin
	r.mu.Lock()
	if r.homes[service] != home {
		r.homes[service] = home
		list = r.own.All(r.o.Now())
	}
	r.mu.Unlock()
	r.tell(home, slices.DeleteFunc(list, func(o tlorigin.Origin) bool { return o.Service != service }))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
