package gateway

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlcodec"
	"trefoillanding/core/tlkeyed"
	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlwire"
	"trefoillanding/platform"
)

const (
	// registerRetryDelay is the pause between attempts to register.
	registerRetryDelay = 200 * time.Millisecond
	// dropAfter is how long an instance counts as gone before its entry is
	// dropped; without the drop, an instance that joins later would take it for live.
	dropAfter = 1500 * time.Millisecond
	// dropInterval is the time between checks for instances that are gone.
	dropInterval = 500 * time.Millisecond
	// dropEntriesPurpose is the purpose for which gossip picks the instance that drops entries.
	dropEntriesPurpose = "drop entries"
)

// entry encodes the instance's entry; incarnation is 0 in the entry whose offset
// gives the incarnation.
func (i *Instance) entry(state tlwire.InstanceState, incarnation uint64) ([]byte, error) {
	s := i.settings
	return tlcodec.Encode(tlwire.Instance{
		Name:        s.Name,
		Kind:        tlwire.InstanceKindEntry,
		DataCentre:  s.DataCentre,
		Address:     s.Listen,
		PeerAddress: s.PeerListen,
		Incarnation: incarnation,
		State:       state,
		Capacity:    s.Gateway.Capacity,
	})
}

// register appends the instance's entry, retrying until the store has accepted it,
// and returns its incarnation, which rises with each start.
func (i *Instance) register(ctx context.Context) (uint64, error) {
	e, err := i.entry(tlwire.InstanceStateLive, 0)
	if err != nil {
		return 0, err
	}
	p, err := i.appendOwnEntry(ctx, e, func(err error) {
		i.counters.store.Count(storeOutages)
		i.log.WithField("Cause", err.Error()).Warn("store lost before the instance was written down")
	})
	if err != nil {
		return 0, err
	}
	return p.Number(), nil
}

// appendOwnEntry appends this instance's entry, retrying until the store has accepted
// it, and returns its position; onLost is called with the first failure.
func (i *Instance) appendOwnEntry(ctx context.Context, e []byte, onLost func(error)) (tlkeyed.Position, error) {
	isLost := false
	for ctx.Err() == nil {
		p, err := i.appendEntry(ctx, i.settings.Name, e)
		if err == nil {
			return p, nil
		}
		if !isLost {
			isLost = true
			onLost(err)
		}
		wait(ctx, registerRetryDelay)
	}
	return tlkeyed.Position{}, ctx.Err()
}

// incarnationOf returns the incarnation of an instance whose entry is a record; 0 stands for none.
func incarnationOf(r tlkeyed.Record) uint64 {
	return tlkeyed.Position{Era: r.Era, Offset: r.Offset}.Number()
}

// appendEntry appends an instance's entry, or a tombstone if e is nil, and returns its position.
func (i *Instance) appendEntry(ctx context.Context, name string, e []byte) (tlkeyed.Position, error) {
	ctx, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	return i.store.AppendKey(ctx, platform.TopicInstances, name, e)
}

// appendLeavingEntry appends, without retries, an entry that says that the instance
// is leaving; gossip tells the others too. The instance stays listed, since one
// that is not listed counts as gone and loses the reservations of requests that it
// still serves; other instances drop the entry once it has ended.
func (i *Instance) appendLeavingEntry(ctx context.Context) {
	e, err := i.entry(tlwire.InstanceStateLeaving, i.self.Incarnation)
	if err == nil {
		_, err = i.appendEntry(ctx, i.settings.Name, e)
	}
	if err != nil {
		i.log.WithField("Cause", err.Error()).Warn("leaving entry not written to the store")
	}
}

// instanceEntries holds the instance entries read from the store.
type instanceEntries struct {
	byName map[string]tlwire.Instance
}

func newInstanceEntries() instanceEntries {
	return instanceEntries{byName: map[string]tlwire.Instance{}}
}

func (i *Instance) followInstances() {
	i.follow(platform.TopicInstances, 0, i.settings.Gateway.InstancesEvery, i.resetInstances, i.applyInstances)
}

func (i *Instance) resetInstances(records []tlkeyed.Record) {
	clear(i.instances.byName)
	i.applyInstances(records)
}

func (i *Instance) applyInstances(records []tlkeyed.Record) {
	for _, r := range records {
		if r.IsTombstone() {
			delete(i.instances.byName, r.Key)
			i.reregister(r)
			continue
		}
		e, err := decodeInstance(r)
		if err != nil {
			i.counters.store.Count(badEntry)
			i.log.WithFields(logrus.Fields{"Key": r.Key, "Offset": r.Offset, "Cause": err.Error()}).Warn("instance entry ignored")
			i.replaceEntry(r)
			continue
		}
		if e.Incarnation < i.knownIncarnation(r.Key) {
			i.counters.store.Count(lateEntry)
			i.log.WithFields(logrus.Fields{"Key": r.Key, "Offset": r.Offset, "Incarnation": e.Incarnation}).Info("entry of a former process ignored")
			i.replaceEntry(r)
			continue
		}
		i.instances.byName[r.Key] = e
	}
	l := tlwire.InstanceList{Instances: make([]tlwire.Instance, 0, len(i.instances.byName))}
	for _, e := range i.instances.byName {
		l.Instances = append(l.Instances, e)
	}
	slices.SortFunc(l.Instances, func(a, b tlwire.Instance) int { return cmp.Compare(a.Name, b.Name) })
	i.instanceList.Store(&l)
	i.gossip.SetInstances(l)
}

// knownIncarnation returns the newest incarnation of an instance that is listed; 0 if none is.
func (i *Instance) knownIncarnation(name string) uint64 {
	if name == i.settings.Name {
		return i.self.Incarnation
	}
	return i.instances.byName[name].Incarnation
}

// reregister registers this instance again if another one, taking it for gone, dropped its entry.
func (i *Instance) reregister(r tlkeyed.Record) {
	if r.Key != i.settings.Name || i.draining.Load() || incarnationOf(r) < i.self.Incarnation {
		return
	}
	i.log.WithField("Offset", r.Offset).Warn("own entry was dropped; registering again")
	i.running.Go(func() {
		if _, err := i.register(i.ctx); err != nil {
			i.log.WithField("Cause", err.Error()).Warn("instance not registered again")
		}
	})
}

// replaceEntry writes this instance's entry again if another one stands in its place, of
// another writer or of a former process, whose write the store has carried out late:
// instances that start later would not know this one.
func (i *Instance) replaceEntry(r tlkeyed.Record) {
	if r.Key != i.settings.Name || incarnationOf(r) < i.self.Incarnation {
		return
	}
	own, err := i.entry(tlwire.InstanceStateLive, i.self.Incarnation)
	if err == nil && !bytes.Equal(own, r.Value) {
		i.running.Go(func() { i.restoreEntry(i.ctx) })
	}
}

// cleanUpEntries drops the entries of instances that are gone; one instance does it for all.
func (i *Instance) cleanUpEntries(ctx context.Context) {
	since := map[string]time.Time{}
	for ctx.Err() == nil {
		wait(ctx, dropInterval)
		if i.draining.Load() || i.gossip.Oldest(dropEntriesPurpose, homeCandidates) != i.settings.Name {
			clear(since)
			continue
		}
		i.dropGoneEntries(ctx, since)
	}
}

func (i *Instance) dropGoneEntries(ctx context.Context, since map[string]time.Time) {
	now := time.Now()
	for _, k := range i.gossip.All() {
		if k.State != tlmember.StateGone {
			delete(since, k.Name)
			continue
		}
		first, ok := since[k.Name]
		if !ok {
			since[k.Name] = now
			continue
		}
		if now.Sub(first) < dropAfter {
			continue
		}
		delete(since, k.Name)
		i.dropEntry(ctx, k.Name)
	}
}

func (i *Instance) dropEntry(ctx context.Context, name string) {
	_, err := i.appendEntry(ctx, name, nil)
	i.log.WithFields(logrus.Fields{"Name": name, "Failed": err != nil}).Info("instance entry dropped")
}
