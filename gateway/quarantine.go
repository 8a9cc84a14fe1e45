package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlcodec"
	"trefoillanding/core/tlkeyed"
	"trefoillanding/core/tlquarantine"
	"trefoillanding/core/tlwire"
	"trefoillanding/platform"
)

const (
	// quarantineCheckInterval is the time between checks for records whose time is over.
	quarantineCheckInterval = time.Second
	// quarantineWait is how long a read waits for the next record; a store that goes back
	// while a read waits may be noticed so much later.
	quarantineWait = 400 * time.Millisecond
	// maxKeyBytes is the longest key of a record in the store.
	maxKeyBytes = 255
)

// quarantines holds the records of parts of requests that crash endpoints: what the store
// is known to have, and what it does not have yet.
type quarantines struct {
	mu    sync.Mutex
	known map[string]tlwire.Quarantine
	// unwritten holds the values to append; nil deletes the key.
	unwritten map[string][]byte
	// wake signals that there is something to append.
	wake chan struct{}
}

func newQuarantines() *quarantines {
	return &quarantines{known: map[string]tlwire.Quarantine{}, unwritten: map[string][]byte{}, wake: make(chan struct{}, 1)}
}

// queue adds a value to append for a key; a later one replaces it.
func (q *quarantines) queue(key string, value []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unwritten[key] = value
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take returns the values to append, which it forgets.
func (q *quarantines) take() map[string][]byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.unwritten
	q.unwritten = map[string][]byte{}
	return list
}

// putBack adds a value that could not be appended, unless there is a later one.
func (q *quarantines) putBack(key string, value []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.unwritten[key]; !ok {
		q.unwritten[key] = value
	}
}

// isUnwritten reports whether a value for a key is still to be appended.
func (q *quarantines) isUnwritten(key string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, ok := q.unwritten[key]
	return ok
}

func (q *quarantines) set(key string, e tlwire.Quarantine) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.known[key] = e
}

// remove removes a record, and returns it if it was known.
func (q *quarantines) remove(key string) (tlwire.Quarantine, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.known[key]
	delete(q.known, key)
	return e, ok
}

// all returns the known records.
func (q *quarantines) all() map[string]tlwire.Quarantine {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.known)
}

// of returns the known records of some services.
func (q *quarantines) of(isOne func(service string) bool) map[string]tlwire.Quarantine {
	list := q.all()
	known := map[string]bool{}
	maps.DeleteFunc(list, func(_ string, e tlwire.Quarantine) bool {
		is, ok := known[e.Service]
		if !ok {
			is = isOne(e.Service)
			known[e.Service] = is
		}
		return !is
	})
	return list
}

func quarantineKey(service, part string) string {
	return service + "/" + part
}

// onQuarantine writes down that this instance has put a part in quarantine.
func (i *Instance) onQuarantine(e tlwire.Quarantine) {
	key := quarantineKey(e.Service, e.Part)
	value, err := tlcodec.Encode(e)
	if err != nil || len(key) > maxKeyBytes {
		i.log.WithFields(logrus.Fields{"Service": e.Service, "Part": e.Part}).Error("quarantine not written to the store: no record can hold it")
		return
	}
	i.quarantines.set(key, e)
	i.quarantines.queue(key, value)
}

// onQuarantineLifted writes down that this instance has ended a quarantine early.
func (i *Instance) onQuarantineLifted(service, part string) {
	key := quarantineKey(service, part)
	i.quarantines.remove(key)
	i.quarantines.queue(key, nil)
}

// writeQuarantines appends what the store does not have yet, and drops the records
// whose time is over of the services whose home this instance is.
func (i *Instance) writeQuarantines(ctx context.Context) {
	t := time.NewTicker(quarantineCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.quarantines.wake:
		case <-t.C:
			i.dropExpiredQuarantines()
		}
		if !i.appendQuarantines(ctx) {
			wait(ctx, registerRetryDelay)
		}
	}
}

// isHomeOf reports whether this instance is the home of a service; it is of none while it drains.
func (i *Instance) isHomeOf(service string) bool {
	return !i.draining.Load() && i.homeOf(service) == i.settings.Name
}

func (i *Instance) dropExpiredQuarantines() {
	now := time.Now()
	for key, e := range i.quarantines.of(i.isHomeOf) {
		if now.After(e.Until) {
			i.quarantines.remove(key)
			i.quarantines.queue(key, nil)
		}
	}
}

// appendQuarantines appends what the store does not have yet; it reports whether the
// store has accepted all of it.
func (i *Instance) appendQuarantines(ctx context.Context) bool {
	isWritten := true
	for key, value := range i.quarantines.take() {
		ctx, stop := context.WithTimeout(ctx, storeTimeout)
		_, err := i.store.AppendKey(ctx, platform.TopicQuarantine, key, value)
		stop()
		if err != nil {
			isWritten = false
			i.quarantines.putBack(key, value)
			i.log.WithFields(logrus.Fields{"Key": key, "Cause": err.Error()}).Debug("quarantine not written to the store yet")
		}
	}
	return isWritten
}

// followQuarantines reads the topic with a wait, since a home that takes over has to
// know what the one before it decided last; idle, that costs no more calls.
func (i *Instance) followQuarantines() {
	i.follow(platform.TopicQuarantine, quarantineWait, i.settings.Gateway.InstancesEvery, i.resetQuarantines, i.applyQuarantines)
}

// resetQuarantines lifts the quarantines that the store no longer has.
func (i *Instance) resetQuarantines(records []tlkeyed.Record) {
	read := map[string]bool{}
	for _, r := range records {
		read[r.Key] = true
	}
	for key := range i.quarantines.all() {
		if !read[key] && !i.quarantines.isUnwritten(key) {
			i.applyQuarantineEnd(key)
		}
	}
	i.applyQuarantines(records)
}

func (i *Instance) applyQuarantines(records []tlkeyed.Record) {
	for _, r := range records {
		if r.IsTombstone() {
			i.applyQuarantineEnd(r.Key)
			continue
		}
		e, err := tlcodec.Decode[tlwire.Quarantine](r.Value)
		if err != nil || quarantineKey(e.Service, e.Part) != r.Key {
			i.counters.store.Count(badEntry)
			i.log.WithFields(logrus.Fields{"Key": r.Key, "Offset": r.Offset}).Warn("quarantine ignored: cannot be decoded or differs from its key")
			continue
		}
		if latest := time.Now().Add(tlquarantine.HoldTime); e.Until.After(latest) {
			e.Until = latest
		}
		i.guard.SetQuarantine(e)
		i.quarantines.set(r.Key, e)
	}
}

func (i *Instance) applyQuarantineEnd(key string) {
	if e, ok := i.quarantines.remove(key); ok {
		i.guard.LiftQuarantine(e.Service, e.Part)
	}
}

// restoreQuarantines has the records of the services whose home this instance is
// written again, after the store went back.
func (i *Instance) restoreQuarantines() {
	for key, e := range i.quarantines.of(i.isHomeOf) {
		if value, err := tlcodec.Encode(e); err == nil {
			i.quarantines.queue(key, value)
		}
	}
}
