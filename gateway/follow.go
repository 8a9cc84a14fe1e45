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
	// enough that a read which hangs on a silent connection is given up within the
	// time in which a configuration must be in force. A read that began while a
	// configuration was being written may also miss it until its wait is over.
	configWait = time.Second
	// storeTimeout bounds a small call to the store, in addition to the time that a read may wait.
	storeTimeout = 900 * time.Millisecond
	// followTimeout bounds a read of a topic, which may bring much over a slow link; one that
	// brings nothing ends as soon as a small call.
	followTimeout = 10 * time.Second
	// storeRecoveryDelay is the usual time from the last failed call to the store's
	// recovery; with tlendpoint.OutageGrace it stays below the time within which
	// instances must know that an endpoint has left.
	storeRecoveryDelay = 300 * time.Millisecond
	// sameOutageWindow is how long before this instance's last failed call the store
	// may have answered another instance for both to count as one outage.
	sameOutageWindow = 2 * time.Second
	// expireInterval is the time between checks for entries that lapsed around an outage.
	expireInterval = 100 * time.Millisecond
)

// follow creates the follower of a topic; start runs it.
func (i *Instance) follow(topic string, wait, every time.Duration, reset, apply func([]tlkeyed.Record)) {
	i.followers[topic] = tlfollow.New(tlfollow.Options{
		Newest: func(ctx context.Context) (tlkeyed.Batch, error) {
			return i.store.Newest(ctx, topic)
		},
		Read: func(ctx context.Context, from uint64, wait time.Duration) (tlkeyed.Batch, error) {
			b, err := i.store.Read(ctx, topic, from, wait)
			i.noteSkipped(topic, b.Skipped)
			return b, err
		},
		AskPeer: func(ctx context.Context, from tlkeyed.Position) (tlkeyed.Batch, bool) {
			return i.recordsFromPeers(ctx, topic, from)
		},
		IsReader: i.isReader,
		AskReader: func(ctx context.Context, from tlkeyed.Position) (tlkeyed.Batch, bool) {
			return i.recordsFromReader(ctx, topic, from)
		},
		AskEvery:    readerQueryInterval,
		IsCompacted: func(err error) bool { return errors.Is(err, platform.ErrCompacted) },
		Wait:        wait,
		Every:       every,
		Timeout:     followTimeout,
		OnEra: func(before, after uint64, known, read []tlkeyed.Record) []tlkeyed.Record {
			return i.onEra(topic, before, after, known, read)
		},
		Reset: reset,
		Apply: apply,
		OnLost: func(err error) {
			i.counters.store.Count(storeOutages)
			i.log.WithFields(logrus.Fields{"Topic": topic, "Cause": err.Error()}).Warn("store lost")
		},
		OnRegained: func(d time.Duration) {
			i.log.WithFields(logrus.Fields{"Topic": topic, "AwayMs": d.Milliseconds()}).Info("store reachable again")
		},
		Now: time.Now,
	})
}

// noteSkipped counts and logs records of a topic that can't be read as such.
func (i *Instance) noteSkipped(topic string, offsets []uint64) {
	for _, o := range offsets {
		i.counters.store.Count(badEntry)
		i.log.WithFields(logrus.Fields{"Topic": topic, "Offset": o}).Warn("record ignored: it has no key that can be read")
	}
}

func (i *Instance) followConfig() {
	i.follow(platform.TopicConfig, configWait, 0, i.applyConfig, i.applyConfig)
}

// applyConfig puts the newest configuration among records in force; it never returns to an older version.
func (i *Instance) applyConfig(records []tlkeyed.Record) {
	i.configMu.Lock()
	defer i.configMu.Unlock()
	for _, r := range records {
		if r.Key != platform.KeyConfig || r.IsTombstone() {
			continue
		}
		t, ignored, err := platform.DecodeConfig(r.Value)
		if err != nil {
			i.counters.store.Count(badConfig)
			i.log.WithFields(logrus.Fields{"Offset": r.Offset, "Cause": err.Error()}).Warn("configuration rejected")
			continue
		}
		if t.Version <= i.version() {
			continue
		}
		i.logIgnored(t.Version, ignored)
		// Engines first: requests on the routes of a new service would find none.
		i.setEngines(t)
		i.table.Store(t)
		i.lag.reached(t.Version)
		for _, name := range t.Services() {
			i.budget.AddService(name)
		}
		i.log.WithFields(logrus.Fields{"Version": t.Version, "Offset": r.Offset}).Info("configuration in force")
	}
	if all, read := i.endpoints.all(); read {
		i.publishEndpoints(all)
	}
}

// maxIgnoredLogged bounds the log lines on ignored parts of one configuration.
const maxIgnoredLogged = 20

// logIgnored counts and logs the parts of a configuration that are not followed.
func (i *Instance) logIgnored(version uint64, ignored []error) {
	for n, err := range ignored {
		i.counters.store.Count(badEntry)
		if n < maxIgnoredLogged {
			i.log.WithFields(logrus.Fields{"Version": version, "Cause": err.Error()}).Warn("part of the configuration ignored")
		}
	}
}

// endpointEntries holds the endpoint entries read from the store.
type endpointEntries struct {
	mu   *sync.Mutex
	list *tlendpoint.List
	// odd holds the keys whose last entry was ignored.
	odd map[string]bool
	// isLoaded reports whether the entries have been read; until then an empty list does not mean that there are no endpoints.
	isLoaded bool
}

func newEndpointEntries() endpointEntries {
	return endpointEntries{mu: &sync.Mutex{}, list: tlendpoint.NewList(), odd: map[string]bool{}}
}

// maxOdd bounds the keys of ignored entries that are remembered.
const maxOdd = 1000

// noteOdd remembers that the last entry of a key was ignored; e.mu must be held.
func (e *endpointEntries) noteOdd(key string) {
	if len(e.odd) >= maxOdd {
		clear(e.odd)
	}
	e.odd[key] = true
}

func (e *endpointEntries) all() ([]tlendpoint.Endpoint, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.list.All(), e.isLoaded
}

func (i *Instance) followEndpoints() {
	i.follow(platform.TopicEndpoints, 0, i.settings.Gateway.ListEvery, i.resetEndpoints, i.applyEndpoints)
}

func (i *Instance) resetEndpoints(records []tlkeyed.Record) {
	named := map[string]bool{}
	for _, r := range records {
		named[r.Key] = !r.IsTombstone()
	}
	i.endpoints.mu.Lock()
	i.endpoints.list.Retain(named, i.keepUntil())
	i.endpoints.mu.Unlock()
	i.applyEndpoints(records)
}

func (i *Instance) applyEndpoints(records []tlkeyed.Record) {
	i.endpoints.mu.Lock()
	for _, r := range records {
		i.applyEndpointRecord(r)
	}
	i.endpoints.isLoaded = true
	all := i.endpoints.list.All()
	i.endpoints.mu.Unlock()
	i.publishEndpoints(all)
}

func (i *Instance) applyEndpointRecord(r tlkeyed.Record) {
	if r.IsTombstone() {
		i.endpoints.list.Remove(r.Key, i.keepUntil())
		return
	}
	e, err := platform.DecodeEndpoint(r.Key, r.Value)
	if err != nil {
		i.counters.store.Count(badEntry)
		level := logrus.WarnLevel
		if i.endpoints.odd[r.Key] {
			// Whoever writes it may do so at each heartbeat.
			level = logrus.DebugLevel
		}
		i.endpoints.noteOdd(r.Key)
		i.log.WithFields(logrus.Fields{"Key": r.Key, "Offset": r.Offset, "Cause": err.Error()}).Log(level, "endpoint entry ignored")
		i.endpoints.list.Remove(r.Key, time.Time{})
		return
	}
	delete(i.endpoints.odd, r.Key)
	i.endpoints.list.Put(e)
}

// keepUntil returns until when entries that disappear now are kept. It is zero
// unless the store was recently unreachable for all instances: endpoints could not
// renew their entries then. Where the store answered another instance meanwhile,
// an endpoint whose entry disappeared has left.
func (i *Instance) keepUntil() time.Time {
	if back := time.Unix(0, i.storeWentBackAt.Load()); time.Since(back) < tlendpoint.OutageGrace {
		return back.Add(tlendpoint.OutageGrace)
	}
	failed := i.followers[platform.TopicEndpoints].FailedAt()
	until := failed.Add(storeRecoveryDelay + tlendpoint.OutageGrace)
	served := time.Unix(0, i.peerReachedStoreAt.Load())
	if failed.IsZero() || time.Now().After(until) || served.After(failed.Add(-sameOutageWindow)) {
		return time.Time{}
	}
	return until
}

// expireEndpoints removes entries that lapsed around an outage and were not written again.
func (i *Instance) expireEndpoints(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, expireInterval)
		i.endpoints.mu.Lock()
		changed := i.endpoints.list.Expire(time.Now())
		i.endpoints.mu.Unlock()
		if !changed {
			continue
		}
		all, _ := i.endpoints.all()
		i.publishEndpoints(all)
	}
}
