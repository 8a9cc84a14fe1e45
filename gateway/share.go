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

// kindRecords is the message with which an instance asks another for records of the store.
const kindRecords = "Records"

const (
	// leastReaders is how many instances read the store for all, so that one's loss goes unnoticed.
	leastReaders = 3
	// perReader is the number of instances for which there is one reader in a large fleet.
	perReader = 20
	// purposeRead picks them.
	purposeRead = "read the store"
	// askEvery is the least time between questions to a reader on one topic.
	askEvery = 400 * time.Millisecond
	// mostAsked bounds the instances that are asked in one round.
	mostAsked = 2
	// catchUpAfter is how long an instance that hears of a newer configuration waits for the store to give it.
	catchUpAfter = 300 * time.Millisecond
	// askWithin bounds the wait for one of them.
	askWithin = 250 * time.Millisecond
)

// shareRecords answers instances that ask what this one has read of the store.
func (i *Instance) shareRecords() {
	tlpeer.Handle(i.mesh, kindRecords, func(_ context.Context, _ tlpeer.Peer, c tlwire.RecordsCall) (tlwire.RecordsAnswer, error) {
		return i.answerRecords(c), nil
	})
}

// answerRecords returns what this instance has read beyond what the asker has.
func (i *Instance) answerRecords(c tlwire.RecordsCall) tlwire.RecordsAnswer {
	a := tlwire.RecordsAnswer{Records: []tlwire.KeyedRecord{}}
	f := i.followers[c.Topic]
	if f == nil {
		return a
	}
	a.IsFresh = f.IsFresh()
	b := f.Snapshot()
	a.Next = b.Next
	if b.Next <= c.From {
		return a
	}
	for _, r := range b.Records {
		a.Records = append(a.Records, tlwire.KeyedRecord{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}
	return a
}

// hearVersion notes that another instance has a newer configuration in force.
func (i *Instance) hearVersion(_ string, version uint64) {
	if version <= i.version() {
		return
	}
	i.newest.Store(version)
	select {
	case i.behind <- struct{}{}:
	default:
	}
}

// catchUp takes the configuration from another instance where one has it
// earlier than this one reads it.
func (i *Instance) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.behind:
		}
		wait(ctx, catchUpAfter)
		if i.newest.Load() > i.version() {
			i.followers[platform.TopicConfig].CatchUp(ctx)
		}
	}
}

// isReader says whether this instance reads the store for others.
func (i *Instance) isReader() bool {
	for _, m := range i.readers() {
		if m.Name == i.settings.Name {
			return true
		}
	}
	return false
}

// readers returns the instances that read the store.
func (i *Instance) readers() []tlmember.Member {
	n := max(leastReaders, len(i.gossip.Live())/perReader)
	return i.gossip.Largest(purposeRead, n)
}

// askReader returns what a reader has read of a topic beyond an offset, where
// one reaches the store.
func (i *Instance) askReader(ctx context.Context, topic string, from uint64) (tlkeyed.Batch, bool) {
	list := i.readers()
	if len(list) == 0 {
		return tlkeyed.Batch{}, false
	}
	first := rand.IntN(len(list))
	for k := range min(mostAsked, len(list)) {
		m := list[(first+k)%len(list)]
		a, err := i.askPeer(ctx, m.Name, tlwire.RecordsCall{Topic: topic, From: from})
		if err == nil && a.IsFresh && a.Next >= from {
			return batchOf(a), true
		}
	}
	return tlkeyed.Batch{}, false
}

// askPeers returns what another instance has read of a topic beyond an offset.
func (i *Instance) askPeers(ctx context.Context, topic string, from uint64) (tlkeyed.Batch, bool) {
	// The list is shared with other readers.
	live := slices.Clone(i.gossip.Live())
	rand.Shuffle(len(live), func(a, b int) { live[a], live[b] = live[b], live[a] })
	asked := 0
	for _, m := range live {
		if m.Name == i.settings.Name || asked == mostAsked {
			continue
		}
		asked++
		a, err := i.askPeer(ctx, m.Name, tlwire.RecordsCall{Topic: topic, From: from})
		if err == nil && a.IsFresh {
			i.storeServed.Store(time.Now().UnixNano())
		}
		if err != nil || a.Next <= from {
			continue
		}
		i.log.WithFields(logrus.Fields{"Topic": topic, "From": from, "Next": a.Next, "Peer": m.Name}).Info("records taken from another instance")
		return batchOf(a), true
	}
	return tlkeyed.Batch{}, false
}

func (i *Instance) askPeer(ctx context.Context, name string, c tlwire.RecordsCall) (tlwire.RecordsAnswer, error) {
	ctx, stop := context.WithTimeout(ctx, askWithin)
	defer stop()
	return tlpeer.Call[tlwire.RecordsCall, tlwire.RecordsAnswer](ctx, i.mesh, name, kindRecords, c)
}

func batchOf(a tlwire.RecordsAnswer) tlkeyed.Batch {
	b := tlkeyed.Batch{Next: a.Next, End: a.Next}
	for _, r := range a.Records {
		b.Records = append(b.Records, tlkeyed.Record{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}
	return b
}
