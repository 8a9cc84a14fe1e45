package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlkeyed"
	"trefoillanding/core/tlmember"
	"trefoillanding/io/tlregistry"
	"trefoillanding/platform"
)

// originsWriteShare is the share of the write calls that the store takes from all
// instances together which may go into the log of origins.
const originsWriteShare = 0.25

// writeOriginsPurpose is the purpose for which gossip picks the instance that appends
// origins for all.
const writeOriginsPurpose = "write origins"

func (i *Instance) registryOptions() tlregistry.Options {
	return tlregistry.Options{
		Self:         i.settings.Name,
		Mesh:         i.mesh,
		Home:         i.homeOf,
		Others:       i.originHolders,
		Post:         i.outboxPost,
		Writer:       func() string { return i.gossip.Oldest(writeOriginsPurpose, homeCandidates) },
		Append:       i.appendOrigins,
		Read:         i.readOrigins,
		CallInterval: i.originsInterval,
		Now:          time.Now,
		Log:          i.log,
		Count:        i.counters.origins.Count,
	}
}

// originHolders returns the other instances, which hold copies of the origins of streams.
func (i *Instance) originHolders() []tlmember.Member {
	// The list that Live returns is shared.
	return slices.DeleteFunc(slices.Clone(i.gossip.Live()), func(m tlmember.Member) bool { return m.Name == i.settings.Name })
}

func (i *Instance) appendOrigins(ctx context.Context, record []byte) error {
	ctx, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	_, err := i.store.Append(ctx, platform.TopicOrigins, record, nil)
	return err
}

func (i *Instance) readOrigins(ctx context.Context, from uint64) (b tlkeyed.Batch, first uint64, isCompacted bool, err error) {
	ctx, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	b, err = i.store.ReadValues(ctx, platform.TopicOrigins, from)
	var compacted *platform.CompactedError
	if errors.As(err, &compacted) && from != compacted.First.Offset {
		return tlkeyed.Batch{Era: compacted.First.Era}, compacted.First.Offset, true, nil
	}
	return b, 0, false, err
}

// originsInterval returns the least time between two appends to the log of origins, and
// between two reads of it, at which all instances together stay within their share of the
// store's write calls; it takes several times as many reads.
func (i *Instance) originsInterval() time.Duration {
	return time.Duration(float64(i.fleetSize()) * float64(time.Second) / (originsWriteShare * i.settings.Gateway.StoreWrites))
}

// incarnationOfEngine asks an engine that has begun to answer for its incarnation.
func (i *Instance) incarnationOfEngine(ctx context.Context, e tlendpoint.Endpoint) (int64, error) {
	l, err := i.askEngine(ctx, e, tlcall.Send{IsFollowUp: true})
	return l.Incarnation, err
}
