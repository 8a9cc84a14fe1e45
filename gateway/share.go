package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlcodec"
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
	// peerQueryTimeout bounds one query to another instance, whose answer has up to maxQuickBytes of records.
	peerQueryTimeout = 250 * time.Millisecond
	maxQuickBytes    = 64 << 10
	// packedRatio is the size of records, in times of what may come at once, from which they
	// are not packed to find out whether they fit.
	packedRatio = 4
	// transferTimeout bounds a call that brings more records from an instance that has just answered.
	transferTimeout = 8 * time.Second
	// maxUnpackedBytes bounds the records in an answer once they are unpacked.
	maxUnpackedBytes = 64 << 20
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
	if c.MaxBytes > 0 && sizeOf(b) > packedRatio*c.MaxBytes {
		// Packing them would take longer than the caller waits for a quick answer.
		a.IsLarger = true
		return a
	}
	if c.TakesPacked {
		packed, err := i.packed.of(c.Topic, b)
		switch {
		case err != nil:
			i.log.WithFields(logrus.Fields{"Topic": c.Topic, "Cause": err.Error()}).Error("records not packed")
		case c.MaxBytes > 0 && len(packed) > c.MaxBytes:
			a.IsLarger = true
			return a
		default:
			a.Packed = packed
			return a
		}
	}
	a.Records = keyedRecords(b)
	return a
}

// sizeOf returns the bytes of the records in a batch.
func sizeOf(b tlkeyed.Batch) int {
	n := 0
	for _, r := range b.Records {
		n += len(r.Key) + len(r.Value)
	}
	return n
}

func keyedRecords(b tlkeyed.Batch) []tlwire.KeyedRecord {
	list := make([]tlwire.KeyedRecord, 0, len(b.Records))
	for _, r := range b.Records {
		list = append(list, tlwire.KeyedRecord{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}
	return list
}

// packedRecords holds, for each topic, the records that were packed last, since many
// instances ask for the same ones.
type packedRecords struct {
	mu      sync.Mutex
	byTopic map[string]packedBatch
}

type packedBatch struct {
	at   tlkeyed.Position
	data []byte
}

// of returns the records of a batch of a topic in packed form.
func (p *packedRecords) of(topic string, b tlkeyed.Batch) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k, ok := p.byTopic[topic]; ok && k.at == b.Position() {
		return k.data, nil
	}
	data, err := tlcodec.Pack(keyedRecords(b))
	if err != nil {
		return nil, err
	}
	p.byTopic[topic] = packedBatch{b.Position(), data}
	return data, nil
}

// requestCatchUp wakes catchUpConfig if another instance has a newer configuration in force.
func (i *Instance) requestCatchUp(peer string, version uint64) {
	i.lag.heard(peer, version)
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
		b, isFresh, err := i.askForRecords(ctx, m.Name, topic, from)
		if err == nil && isFresh && b.Position().Compare(from) >= 0 {
			return b, true
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
		b, isFresh, err := i.askForRecords(ctx, m.Name, topic, from)
		if err == nil && isFresh {
			i.peerReachedStoreAt.Store(time.Now().UnixNano())
		}
		if err != nil || b.Position().Compare(from) <= 0 {
			continue
		}
		i.log.WithFields(logrus.Fields{"Topic": topic, "From": from.Offset, "Next": b.Next, "Era": b.Era, "Peer": m.Name}).Info("records taken from another instance")
		return b, true
	}
	return tlkeyed.Batch{}, false
}

// askForRecords asks another instance for what it has read of a topic beyond a position. A
// few records come at once. More are asked for by themselves and for longer, since the
// instance is known to answer then, and a transfer that is given up fills the link for nothing.
func (i *Instance) askForRecords(ctx context.Context, name, topic string, from tlkeyed.Position) (b tlkeyed.Batch, isFresh bool, err error) {
	c := tlwire.RecordsCall{Topic: topic, From: from.Offset, Era: from.Era, TakesPacked: true, MaxBytes: maxQuickBytes}
	a, err := i.callForRecords(ctx, name, c, peerQueryTimeout)
	if err == nil && a.IsLarger {
		c.MaxBytes = 0
		a, err = i.transferRecords(ctx, name, c)
	}
	if err != nil {
		return tlkeyed.Batch{}, false, err
	}
	b, err = batchOf(a)
	return b, a.IsFresh, err
}

// transferRecords asks for many records of a topic. One transfer of each topic runs at a
// time; who asks meanwhile gets what it brings.
func (i *Instance) transferRecords(ctx context.Context, name string, c tlwire.RecordsCall) (tlwire.RecordsAnswer, error) {
	i.transferMu.Lock()
	t := i.transfers[c.Topic]
	if t == nil {
		t = &transfer{done: make(chan struct{})}
		i.transfers[c.Topic] = t
		i.running.Go(func() {
			t.answer, t.err = i.callForRecords(i.ctx, name, c, transferTimeout)
			i.transferMu.Lock()
			delete(i.transfers, c.Topic)
			i.transferMu.Unlock()
			close(t.done)
		})
	}
	i.transferMu.Unlock()
	select {
	case <-t.done:
		return t.answer, t.err
	case <-ctx.Done():
		return tlwire.RecordsAnswer{}, ctx.Err()
	}
}

// transfer is a call for many records; answer and err are set once done is closed.
type transfer struct {
	done   chan struct{}
	answer tlwire.RecordsAnswer
	err    error
}

func (i *Instance) callForRecords(ctx context.Context, name string, c tlwire.RecordsCall, timeout time.Duration) (tlwire.RecordsAnswer, error) {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	return tlpeer.Call[tlwire.RecordsCall, tlwire.RecordsAnswer](ctx, i.mesh, name, kindRecords, c)
}

func batchOf(a tlwire.RecordsAnswer) (tlkeyed.Batch, error) {
	b := tlkeyed.Batch{Next: a.Next, End: a.Next, Era: a.Era}
	list := a.Records
	if len(a.Packed) > 0 {
		var err error
		if list, err = tlcodec.Unpack[[]tlwire.KeyedRecord](a.Packed, maxUnpackedBytes); err != nil {
			return tlkeyed.Batch{}, err
		}
	}
	for _, r := range list {
		b.Records = append(b.Records, tlkeyed.Record{Key: r.Key, Value: r.Value, Offset: r.Offset, Era: a.Era})
	}
	return b, nil
}
