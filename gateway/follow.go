package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlkeyed"
	"trefoillanding/io/tlfollow"
	"trefoillanding/platform"
)

const (
	// configWait is how long a read waits for the next configuration: short
	// enough that one which hangs on a silent connection is given up within the
	// time in which a configuration must be in force.
	configWait = 2 * time.Second
	// storeTimeout bounds a call to the store beyond its wait.
	storeTimeout = 900 * time.Millisecond
	// returnMargin is a usual time between the last failed call and the store's
	// return; with the grace it stays under the time in which what has left must be known.
	returnMargin = 300 * time.Millisecond
	// servedMemory is how long before this instance's last failed call the store
	// may have served another for both to belong to one outage.
	servedMemory = 2 * time.Second
	// expireEvery is the time between looks at entries that lapsed around an outage.
	expireEvery = 100 * time.Millisecond
)

// follow makes the follower of a topic, which runs from start on.
func (i *Instance) follow(topic string, wait, every time.Duration, reset, apply func([]tlkeyed.Record)) {
	i.followers[topic] = tlfollow.New(tlfollow.Options{
		Newest: func(ctx context.Context) (tlkeyed.Batch, error) {
			return i.store.Newest(ctx, topic)
		},
		Read: func(ctx context.Context, from uint64, wait time.Duration) (tlkeyed.Batch, error) {
			return i.store.Read(ctx, topic, from, wait)
		},
		AskPeer: func(ctx context.Context, from uint64) (tlkeyed.Batch, bool) {
			return i.askPeers(ctx, topic, from)
		},
		IsReader: i.isReader,
		AskReader: func(ctx context.Context, from uint64) (tlkeyed.Batch, bool) {
			return i.askReader(ctx, topic, from)
		},
		AskEvery:    askEvery,
		IsCompacted: func(err error) bool { return errors.Is(err, platform.ErrCompacted) },
		Wait:        wait,
		Every:       every,
		Timeout:     storeTimeout,
		Reset:       reset,
		Apply:       apply,
		OnLost: func(err error) {
			i.counters.store.Count(storeLost)
			i.log.WithFields(logrus.Fields{"Topic": topic, "Cause": err.Error()}).Warn("store lost")
		},
		OnRegained: func(d time.Duration) {
			i.log.WithFields(logrus.Fields{"Topic": topic, "AwayMs": d.Milliseconds()}).Info("store regained")
		},
		Now: time.Now,
	})
}

func (i *Instance) followConfig() {
	i.follow(platform.TopicConfig, configWait, 0, i.takeConfig, i.takeConfig)
}

// takeConfig puts the newest configuration among records in force; a process never goes back.
func (i *Instance) takeConfig(records []tlkeyed.Record) {
	i.configuring.Lock()
	defer i.configuring.Unlock()
	for _, r := range records {
		if r.Key != platform.KeyConfig || r.IsDrop() {
			continue
		}
		t, err := platform.DecodeConfig(r.Value)
		if err != nil {
			i.counters.store.Count(badConfig)
			i.log.WithFields(logrus.Fields{"Offset": r.Offset, "Cause": err.Error()}).Warn("configuration not used")
			continue
		}
		if t.Version <= i.version() {
			continue
		}
		i.table.Store(t)
		for _, name := range t.Services() {
			i.budget.Open(name)
		}
		i.log.WithFields(logrus.Fields{"Version": t.Version, "Offset": r.Offset}).Info("configuration in force")
	}
	if all, read := i.endpoints.all(); read {
		i.useEndpoints(all)
	}
}

// endpointFold folds the entries of endpoints.
type endpointFold struct {
	mu   *sync.Mutex
	list *tlendpoint.List
	// read says that the entries have been read: until then, none is known, which is not the same as there being none.
	read bool
}

func newEndpointFold() endpointFold {
	return endpointFold{mu: &sync.Mutex{}, list: tlendpoint.NewList()}
}

func (f *endpointFold) all() ([]tlendpoint.Endpoint, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list.All(), f.read
}

func (i *Instance) followEndpoints() {
	i.follow(platform.TopicEndpoints, 0, i.settings.Gateway.ListEvery, i.resetEndpoints, i.applyEndpoints)
}

func (i *Instance) resetEndpoints(records []tlkeyed.Record) {
	named := map[string]bool{}
	for _, r := range records {
		named[r.Key] = !r.IsDrop()
	}
	i.endpoints.mu.Lock()
	i.endpoints.list.Retain(named, i.keepUntil())
	i.endpoints.mu.Unlock()
	i.applyEndpoints(records)
}

func (i *Instance) applyEndpoints(records []tlkeyed.Record) {
	i.endpoints.mu.Lock()
	for _, r := range records {
		i.foldEndpoint(r)
	}
	i.endpoints.read = true
	all := i.endpoints.list.All()
	i.endpoints.mu.Unlock()
	i.useEndpoints(all)
}

func (i *Instance) foldEndpoint(r tlkeyed.Record) {
	if r.IsDrop() {
		i.endpoints.list.Drop(r.Key, i.keepUntil())
		return
	}
	e, err := platform.DecodeEndpoint(r.Key, r.Value)
	if err != nil {
		i.counters.store.Count(badEntry)
		i.log.WithFields(logrus.Fields{"Offset": r.Offset, "Cause": err.Error()}).Debug("entry left out")
		i.endpoints.list.Drop(r.Key, time.Time{})
		return
	}
	i.endpoints.list.Put(e)
}

// keepUntil returns until when entries that vanish now are kept: zero unless the
// store was away for all a moment ago, when endpoints could not write themselves
// down. Where it served another instance meanwhile, what vanished has left.
func (i *Instance) keepUntil() time.Time {
	failed := i.followers[platform.TopicEndpoints].FailedAt()
	until := failed.Add(returnMargin + tlendpoint.ReturnGrace)
	served := time.Unix(0, i.storeServed.Load())
	if failed.IsZero() || time.Now().After(until) || served.After(failed.Add(-servedMemory)) {
		return time.Time{}
	}
	return until
}

// expireEndpoints takes out entries that lapsed around an outage and did not come back.
func (i *Instance) expireEndpoints(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, expireEvery)
		i.endpoints.mu.Lock()
		changed := i.endpoints.list.Expire(time.Now())
		i.endpoints.mu.Unlock()
		if !changed {
			continue
		}
		all, _ := i.endpoints.all()
		i.useEndpoints(all)
	}
}
