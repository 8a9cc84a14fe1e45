package gateway

import (
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
	// registerRetry is the pause between attempts to write the instance down.
	registerRetry = 200 * time.Millisecond
	// dropAfter is how long an instance counts as gone before its entry is
	// dropped: an instance that joins later would take it for a live one.
	dropAfter = 1500 * time.Millisecond
	// dropEvery is the time between looks at instances that are gone.
	dropEvery = 500 * time.Millisecond
	// purposeDrop picks the instance that drops entries.
	purposeDrop = "drop entries"
)

// entry is what the instance writes of itself; incarnation is 0 in the entry
// from whose place it follows.
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

// register writes the instance down until the store has taken it, and returns
// its incarnation, which rises with each start.
func (i *Instance) register(ctx context.Context) (uint64, error) {
	e, err := i.entry(tlwire.InstanceStateLive, 0)
	if err != nil {
		return 0, err
	}
	isLost := false
	for ctx.Err() == nil {
		offset, err := i.appendEntry(ctx, i.settings.Name, e)
		if err == nil {
			return incarnationOf(offset), nil
		}
		if !isLost {
			isLost = true
			i.counters.store.Count(storeLost)
			i.log.WithField("Cause", err.Error()).Warn("store lost before the instance was written down")
		}
		wait(ctx, registerRetry)
	}
	return 0, ctx.Err()
}

// incarnationOf returns the incarnation of an instance whose entry is at an offset; 0 stands for none.
func incarnationOf(offset uint64) uint64 {
	return offset + 1
}

// appendEntry writes an instance's entry, or drops it where that is nil.
func (i *Instance) appendEntry(ctx context.Context, name string, e []byte) (uint64, error) {
	ctx, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	return i.store.AppendKey(ctx, platform.TopicInstances, name, e)
}

// writeLeaving writes down, once, that the instance leaves: gossip tells the
// others too. It stays listed, since what is not counts as gone, and with it
// the places of requests that it still serves; others drop the entry once it has ended.
func (i *Instance) writeLeaving(ctx context.Context) {
	e, err := i.entry(tlwire.InstanceStateLeaving, i.self.Incarnation)
	if err == nil {
		_, err = i.appendEntry(ctx, i.settings.Name, e)
	}
	if err != nil {
		i.log.WithField("Cause", err.Error()).Warn("instance's leaving not written down")
	}
}

// instanceFold folds the entries of instances.
type instanceFold struct {
	byName map[string]tlwire.Instance
}

func newInstanceFold() instanceFold {
	return instanceFold{byName: map[string]tlwire.Instance{}}
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
			i.comeBack(r)
			continue
		}
		e, err := tlcodec.Decode[tlwire.Instance](r.Value)
		if err != nil || e.Name != r.Key {
			i.counters.store.Count(badEntry)
			i.log.WithFields(logrus.Fields{"Key": r.Key, "Offset": r.Offset}).Warn("instance's entry left out")
			continue
		}
		if e.Incarnation == 0 {
			e.Incarnation = incarnationOf(r.Offset)
		}
		i.instances.byName[r.Key] = e
	}
	l := tlwire.InstanceList{Instances: make([]tlwire.Instance, 0, len(i.instances.byName))}
	for _, e := range i.instances.byName {
		l.Instances = append(l.Instances, e)
	}
	slices.SortFunc(l.Instances, func(a, b tlwire.Instance) int { return cmp.Compare(a.Name, b.Name) })
	i.known.Store(&l)
	i.gossip.SetInstances(l)
}

// comeBack writes the instance down again whose entry another one dropped, taking it for gone.
func (i *Instance) comeBack(r tlkeyed.Record) {
	if r.Key != i.settings.Name || i.leaving.Load() || incarnationOf(r.Offset) < i.self.Incarnation {
		return
	}
	i.log.WithField("Offset", r.Offset).Warn("own entry was dropped; writing it down again")
	i.running.Go(func() {
		if _, err := i.register(i.ctx); err != nil {
			i.log.WithField("Cause", err.Error()).Warn("instance not written down again")
		}
	})
}

// dropGone drops the entries of instances that are gone; one instance does it for all.
func (i *Instance) dropGone(ctx context.Context) {
	since := map[string]time.Time{}
	for ctx.Err() == nil {
		wait(ctx, dropEvery)
		if i.leaving.Load() || i.gossip.Oldest(purposeDrop, homeChoices) != i.settings.Name {
			clear(since)
			continue
		}
		i.dropLongGone(ctx, since)
	}
}

func (i *Instance) dropLongGone(ctx context.Context, since map[string]time.Time) {
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
	i.log.WithFields(logrus.Fields{"Name": name, "Failed": err != nil}).Info("entry of a gone instance dropped")
}
