package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlkeyed"
	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
	"trefoillanding/platform"
)

// kindRecords is the kind of message with which an instance asks another for records of the store.
const kindRecords = "Records"

const (
	// minReaders is the least number of instances that read the store for all, so that the loss of one has no effect.
	minReaders = 3
	// instancesPerReader is the number of instances for each reader in a large fleet.
	instancesPerReader = 20
	// readStorePurpose is the purpose for which gossip picks the readers.
	readStorePurpose = "read the store"
	// readerQueryInterval is the least time between queries to a reader on one topic.
	readerQueryInterval = 400 * time.Millisecond
	// maxPeersAsked bounds the instances that are asked in one round.
	maxPeersAsked = 2
	// catchUpDelay is how long an instance that learns of a newer configuration
	// waits to read it from the store before it asks other instances.
	catchUpDelay = 300 * time.Millisecond
	// peerQueryTimeout bounds one query to another instance.
	peerQueryTimeout = 250 * time.Millisecond
)

// handleRecordsCalls answers other instances that ask for what this one has read of the store.
func (i *Instance) handleRecordsCalls() {
	tlpeer.Handle(i.mesh, kindRecords, func(_ context.Context, _ tlpeer.Peer, c tlwire.RecordsCall) (tlwire.RecordsAnswer, error) {
		return i.answerRecords(c), nil
	})
}

// answerRecords returns the newest record of each key if this instance has read beyond the caller's offset, else no records.
func (i *Instance) answerRecords(c tlwire.RecordsCall) tlwire.RecordsAnswer {
	a := tlwire.RecordsAnswer{Records: []tlwire.KeyedRecord{}}
	f := i.followers[c.Topic]
	if f == nil {
		return a
	}
	a.IsFresh = f.IsFresh()
	b := f.Snapshot()
	a.Next, a.Era = b.Next, b.Era
	if b.Position().Compare(tlkeyed.Position{Era: c.Era, Offset: c.From}) <= 0 {
		return a
	}
	for _, r := range b.Records {
		a.Records = append(a.Records, tlwire.KeyedRecord{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}
	return a
}

// requestCatchUp wakes catchUpConfig if another instance has a newer configuration in force.
func (i *Instance) requestCatchUp(_ string, version uint64) {
	if version <= i.version() {
		return
	}
	i.newestPeerVersion.Store(version)
	select {
	case i.catchUpRequests <- struct{}{}:
	default:
	}
}

// catchUpConfig takes the configuration from another instance if this one has not
// read it from the store within catchUpDelay.
func (i *Instance) catchUpConfig(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.catchUpRequests:
		}
		wait(ctx, catchUpDelay)
		if i.newestPeerVersion.Load() > i.version() {
			i.followers[platform.TopicConfig].CatchUp(ctx)
		}
		if i.newestPeerVersion.Load() > i.version() {
			i.takeConfigFromPeers(ctx)
		}
	}
}

// takeConfigFromPeers puts a newer configuration in force that another instance holds,
// though it has read no further: after the store went back, it shows an older one
// until the operator writes again.
func (i *Instance) takeConfigFromPeers(ctx context.Context) {
	if b, ok := i.recordsFromPeers(ctx, platform.TopicConfig, tlkeyed.Position{}); ok {
		i.applyConfig(b.Records)
	}
}

// isReader reports whether this instance reads the store for others.
func (i *Instance) isReader() bool {
	for _, m := range i.readers() {
		if m.Name == i.settings.Name {
			return true
		}
	}
	return false
}

// readers returns the instances that read the store for all.
func (i *Instance) readers() []tlmember.Member {
	n := max(minReaders, len(i.gossip.Live())/instancesPerReader)
	return i.gossip.Largest(readStorePurpose, n)
}

// recordsFromReader returns what a reader has read of a topic beyond a position,
// which may be nothing; false if no reader that was asked reaches the store.
func (i *Instance) recordsFromReader(ctx context.Context, topic string, from tlkeyed.Position) (tlkeyed.Batch, bool) {
	list := i.readers()
	if len(list) == 0 {
		return tlkeyed.Batch{}, false
	}
	first := rand.IntN(len(list))
	for k := range min(maxPeersAsked, len(list)) {
		m := list[(first+k)%len(list)]
		a, err := i.callPeerForRecords(ctx, m.Name, tlwire.RecordsCall{Topic: topic, From: from.Offset, Era: from.Era})
		if err == nil && a.IsFresh && batchOf(a).Position().Compare(from) >= 0 {
			return batchOf(a), true
		}
	}
	return tlkeyed.Batch{}, false
}

// recordsFromPeers returns what another instance has read of a topic beyond a
// position; false if none that was asked has read further.
func (i *Instance) recordsFromPeers(ctx context.Context, topic string, from tlkeyed.Position) (tlkeyed.Batch, bool) {
	// The list that Live returns is shared, so shuffle a copy.
	live := slices.Clone(i.gossip.Live())
	rand.Shuffle(len(live), func(a, b int) { live[a], live[b] = live[b], live[a] })
	asked := 0
	for _, m := range live {
		if m.Name == i.settings.Name || asked == maxPeersAsked {
			continue
		}
		asked++
		a, err := i.callPeerForRecords(ctx, m.Name, tlwire.RecordsCall{Topic: topic, From: from.Offset, Era: from.Era})
		if err == nil && a.IsFresh {
			i.peerReachedStoreAt.Store(time.Now().UnixNano())
		}
		if err != nil || batchOf(a).Position().Compare(from) <= 0 {
			continue
		}
		i.log.WithFields(logrus.Fields{"Topic": topic, "From": from.Offset, "Next": a.Next, "Era": a.Era, "Peer": m.Name}).Info("records taken from another instance")
		return batchOf(a), true
	}
	return tlkeyed.Batch{}, false
}

func (i *Instance) callPeerForRecords(ctx context.Context, name string, c tlwire.RecordsCall) (tlwire.RecordsAnswer, error) {
	ctx, stop := context.WithTimeout(ctx, peerQueryTimeout)
	defer stop()
	return tlpeer.Call[tlwire.RecordsCall, tlwire.RecordsAnswer](ctx, i.mesh, name, kindRecords, c)
}

func batchOf(a tlwire.RecordsAnswer) tlkeyed.Batch {
	b := tlkeyed.Batch{Next: a.Next, End: a.Next, Era: a.Era}
	for _, r := range a.Records {
		b.Records = append(b.Records, tlkeyed.Record{Key: r.Key, Value: r.Value, Offset: r.Offset, Era: a.Era})
	}
	return b
}
