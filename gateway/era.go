package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlcodec"
	"trefoillanding/core/tlkeyed"
	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlwire"
	"trefoillanding/platform"
)

var errOtherKey = errors.New("the name differs from the key")

// onEra is called when a topic of the store has gone back to a copy, which lost what
// was written since. It returns what to take as read.
func (i *Instance) onEra(topic string, before, after uint64, known, read []tlkeyed.Record) []tlkeyed.Record {
	i.counters.store.Count(storeWentBack)
	i.log.WithFields(logrus.Fields{"Topic": topic, "Before": before, "Era": after, "Known": len(known), "Read": len(read)}).
		Warn("store went back")
	switch topic {
	case platform.TopicConfig:
		return keepNewestConfig(known, read)
	case platform.TopicEndpoints:
		i.storeWentBackAt.Store(time.Now().UnixNano())
	case platform.TopicInstances:
		i.running.Go(func() { i.restoreEntry(i.ctx) })
		i.registry.Restore()
		return keepKnown(known, read)
	case platform.TopicQuarantine:
		i.restoreQuarantines()
		return keepKnown(known, read)
	}
	return read
}

// keepNewestConfig returns the configuration with the higher version, so that others
// who ask this instance for it get the one in force.
func keepNewestConfig(known, read []tlkeyed.Record) []tlkeyed.Record {
	if configVersion(known) > configVersion(read) {
		return known
	}
	return read
}

func configVersion(records []tlkeyed.Record) uint64 {
	newest := uint64(0)
	for _, r := range records {
		if r.Key != platform.KeyConfig || r.IsTombstone() {
			continue
		}
		if t, _, err := platform.DecodeConfig(r.Value); err == nil {
			newest = max(newest, t.Version)
		}
	}
	return newest
}

// keepKnown returns the entries that were read, and the known ones that are missing
// there or stand there as before: instances write themselves down again, and those
// that have ended fall silent and are dropped; homes write quarantines down again.
func keepKnown(known, read []tlkeyed.Record) []tlkeyed.Record {
	knownByKey := map[string]tlkeyed.Record{}
	for _, r := range known {
		knownByKey[r.Key] = r
	}
	var list []tlkeyed.Record
	for _, r := range read {
		k, ok := knownByKey[r.Key]
		delete(knownByKey, r.Key)
		if ok && k.Offset >= r.Offset {
			// Its incarnation is told by the era in which it was read first.
			r = k
		}
		list = append(list, r)
	}
	for _, r := range known {
		if _, isMissing := knownByKey[r.Key]; isMissing {
			list = append(list, r)
		}
	}
	return list
}

// restoreEntry appends this instance's entry again, with the incarnation that it has.
func (i *Instance) restoreEntry(ctx context.Context) {
	state := tlwire.InstanceStateLive
	if i.draining.Load() {
		state = tlwire.InstanceStateLeaving
	}
	l := i.log.WithField("Incarnation", i.self.Incarnation)
	e, err := i.entry(state, i.self.Incarnation)
	if err != nil {
		l.WithField("Cause", err.Error()).Error("own entry not encoded")
		return
	}
	_, err = i.appendOwnEntry(ctx, e, func(err error) {
		l.WithField("Cause", err.Error()).Warn("own entry not written again yet")
	})
	if err == nil {
		l.Info("own entry written again")
	}
}

// decodeInstance decodes an instance's entry. One without an incarnation was the
// first of its process, and its position is the incarnation.
func decodeInstance(r tlkeyed.Record) (tlwire.Instance, error) {
	e, err := tlcodec.Decode[tlwire.Instance](r.Value)
	if err != nil {
		return e, err
	}
	if e.Name != r.Key {
		return e, errOtherKey
	}
	if e.Incarnation == 0 {
		e.Incarnation = incarnationOf(r)
	}
	return e, tlmember.CheckEntry(e)
}
