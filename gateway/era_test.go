package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlmember"
	"trefoillanding/platform"
	"trefoillanding/platform/tlstand"
)

// hasSeenEra reports whether an instance has read a topic in an era of the store.
func hasSeenEra(i *Instance, topic string, era uint64) bool {
	return i.followers[topic].Snapshot().Era == era
}

// waitForEra waits until all instances have read all topics in an era.
func (w *testCluster) waitForEra(era uint64, all ...*Instance) {
	w.t.Helper()
	for _, i := range all {
		for topic := range i.followers {
			w.eventually(func() bool { return hasSeenEra(i, topic, era) })
		}
	}
}

func TestConfigurationInForceStaysWhenTheStoreGoesBack(t *testing.T) {
	w := newTestCluster(t)
	w.startPlainEndpoint("e1")
	all := w.startFleet(3)
	early := w.store.Copy()
	w.store.PutJSON(platform.TopicConfig, platform.KeyConfig, tlstand.Config(2))
	for _, i := range all {
		w.eventually(func() bool { return i.version() == 2 })
	}
	w.store.GoBack(early)
	w.waitForEra(2, all...)
	for _, i := range all {
		assert.EqualValues(t, 2, i.version())
	}
	late := w.startInstance("late")
	w.eventually(func() bool { return late.version() == 2 })
	w.store.PutJSON(platform.TopicConfig, platform.KeyConfig, tlstand.Config(3))
	for _, i := range append(all, late) {
		w.eventually(func() bool { return i.version() == 3 })
	}
}

// Records that are at offsets read before are others by now: an instance that missed
// the change because it did not read meanwhile must not skip them.
func TestRecordsAtOffsetsGivenOutAgainAreRead(t *testing.T) {
	w := newTestCluster(t)
	e1 := w.startPlainEndpoint("e1")
	i := w.startInstance("a")
	early := w.store.Copy()
	w.startPlainEndpoint("lost")
	w.eventually(func() bool { return len(i.directory.Endpoints(tlstand.PlainService)) == 2 })
	w.store.SetIntercept(func(rw http.ResponseWriter, _ *http.Request) bool {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	w.eventually(func() bool { return !i.followers[platform.TopicEndpoints].IsFresh() })
	w.store.GoBack(early)
	w.store.GoBack(early)
	w.store.PutJSON(platform.TopicEndpoints, "e1", e1.Entry(tlstand.PlainService, "draining"))
	for n := range 5 {
		w.startPlainEndpoint(fmt.Sprint("new", n))
	}
	w.store.SetIntercept(nil)
	w.eventually(func() bool {
		_, first := i.directory.Find("new0")
		_, drains := i.directory.Find("e1")
		return first && !drains
	})
	assert.Positive(t, i.counters.store.Value(storeWentBack))
}

func TestEndpointThatDrainedOrLeftStaysOutOfUseWhenTheStoreShowsItsOldEntry(t *testing.T) {
	w := newTestCluster(t)
	drains, left := w.startPlainEndpoint("drains"), w.startPlainEndpoint("left")
	other := w.startPlainEndpoint("other")
	i := w.startInstance("a")
	w.eventually(func() bool { return len(i.directory.Endpoints(tlstand.PlainService)) == 3 })
	early := w.store.Copy()
	w.store.PutJSON(platform.TopicEndpoints, "drains", drains.Entry(tlstand.PlainService, "draining"))
	w.store.Put(platform.TopicEndpoints, "left", nil)
	w.eventually(func() bool {
		_, ok1 := i.directory.Find("drains")
		_, ok2 := i.directory.Find("left")
		return !ok1 && !ok2
	})
	w.store.GoBack(early)
	w.waitForEra(2, i)
	for n := range 10 {
		require.Equal(t, http.StatusOK, w.call(i, onceCall(fmt.Sprint("id-", n))).status)
	}
	assert.Empty(t, drains.Arrivals())
	assert.Empty(t, left.Arrivals())
	assert.Len(t, other.Arrivals(), 10)
}

func TestEndpointWhoseEntryWasLostIsKeptUntilItWritesAgain(t *testing.T) {
	w := newTestCluster(t)
	w.startPlainEndpoint("e0")
	i := w.startInstance("a")
	early := w.store.Copy()
	e := w.startPlainEndpoint("e1")
	w.eventually(func() bool { _, ok := i.directory.Find("e1"); return ok })
	w.store.GoBack(early)
	// It is kept for tlendpoint.OutageGrace from here on; other topics may be read later than that.
	w.eventually(func() bool { return hasSeenEra(i, platform.TopicEndpoints, 2) })
	_, kept := i.directory.Find("e1")
	assert.True(t, kept)
	w.store.PutJSON(platform.TopicEndpoints, "e1", e.Entry(tlstand.PlainService, "ready"))
	time.Sleep(2500 * time.Millisecond)
	_, kept = i.directory.Find("e1")
	assert.True(t, kept)
}

func TestInstancesWriteThemselvesDownAgainAndNoneIsTakenForGone(t *testing.T) {
	w := newTestCluster(t)
	w.startEngines()
	first := w.startInstance("a")
	early := w.store.Copy()
	all := []*Instance{first, w.startInstance("b"), w.startInstance("c")}
	for _, i := range all {
		w.eventually(func() bool { return w.listsAddresses(i, 3) })
	}
	incarnations := map[string]uint64{}
	for _, i := range all {
		incarnations[i.self.Name] = i.self.Incarnation
	}
	w.store.GoBack(early)
	until := time.Now().Add(2 * time.Second)
	for time.Now().Before(until) {
		for _, i := range all {
			for _, of := range all {
				require.NotEqual(t, tlmember.StateGone, peerState(i, of))
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	w.waitForEra(2, all...)
	w.eventually(func() bool { return w.store.Records(platform.TopicInstances) >= 4 })
	late := w.startInstance("d")
	w.eventually(func() bool { return w.listsAddresses(late, 4) })
	for _, i := range all {
		assert.Equal(t, incarnations[i.self.Name], i.self.Incarnation)
		assert.Greater(t, late.self.Incarnation, i.self.Incarnation, "a number that is given out again would be lower")
	}
	assert.Equal(t, threeEvents, w.call(late, streamCall("id-1", tlstand.StreamPath)).body)
}
