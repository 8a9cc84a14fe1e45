package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlcodec"
	"trefoillanding/core/tlroute"
	"trefoillanding/core/tlwire"
	"trefoillanding/platform"
	"trefoillanding/platform/tlstand"
)

// lookup returns the addresses in an instance's lookup answer; none if it fails.
func (w *testCluster) lookup(i *Instance) []string {
	r, err := w.client.Get("http://" + i.settings.Gateway.Lookup.String() + tlstand.LookupPath)
	if err != nil {
		return nil
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	return tlstand.Addresses(b)
}

func (w *testCluster) readinessStatus(i *Instance) int {
	r, err := w.client.Get("http://" + i.settings.Gateway.Readiness.String() + tlstand.ReadinessPath)
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	return r.StatusCode
}

// listsAddresses reports whether an instance's lookup answer has n addresses.
func (w *testCluster) listsAddresses(i *Instance, n int) bool {
	return len(w.lookup(i)) == n
}

// startFleet starts n instances and waits until each lists them all.
func (w *testCluster) startFleet(n int) []*Instance {
	var all []*Instance
	for k := range n {
		all = append(all, w.startInstance(fmt.Sprint("i", k)))
	}
	for _, i := range all {
		w.eventually(func() bool { return len(w.lookup(i)) == n })
	}
	return all
}

func TestAllInstancesUseOneHomeAndItsLossFailsNoRequest(t *testing.T) {
	w := newTestCluster(t)
	w.startEngines()
	all := w.startFleet(3)
	home := all[0].gossip.Oldest(tlstand.ModelService, homeCandidates)
	var rest []*Instance
	var lost *Instance
	for _, i := range all {
		assert.Equal(t, home, i.gossip.Oldest(tlstand.ModelService, homeCandidates))
		if i.settings.Name == home {
			lost = i
			continue
		}
		rest = append(rest, i)
	}
	assert.Equal(t, threeEvents, w.call(rest[0], streamCall("id-1", tlstand.StreamPath)).body)
	lost.Close()
	for n, i := range rest {
		a := w.call(i, streamCall(fmt.Sprint("id-2-", n), tlstand.StreamPath))
		assert.Equal(t, threeEvents, a.body, "served while the home is being replaced")
	}
	w.eventually(func() bool { return len(w.lookup(rest[0])) == 2 })
}

func TestDrainingInstanceIsNotReadyNotListedAndFinishesItsRequests(t *testing.T) {
	w := newTestCluster(t)
	e := w.startPlainEndpoint("e1")
	release := make(chan struct{})
	e.Intercept = func(_ http.ResponseWriter, _ *http.Request, _ *tlstand.Arrival) bool {
		<-release
		return false
	}
	all := w.startFleet(2)
	got := make(chan answer, 1)
	go func() { got <- w.call(all[0], onceCall("id-1")) }()
	w.eventually(func() bool { return len(e.Arrivals()) == 1 })
	drained := make(chan struct{})
	go func() {
		all[0].Drain(context.Background())
		close(drained)
	}()
	w.eventually(func() bool { return w.readinessStatus(all[0]) == http.StatusServiceUnavailable })
	for _, i := range all {
		w.eventually(func() bool {
			return assert.ObjectsAreEqual([]string{all[1].settings.Listen.String()}, w.lookup(i))
		})
	}
	select {
	case <-drained:
		t.Fatal("drained while a request was served")
	default:
	}
	close(release)
	a := <-got
	assert.Equal(t, http.StatusOK, a.status)
	<-drained
}

func TestConfigurationIsAppliedByAllInstancesEvenWithoutTheStore(t *testing.T) {
	w := newTestCluster(t)
	w.startPlainEndpoint("e1")
	all := w.startFleet(2)
	cut := all[1].settings.Name
	w.store.SetIntercept(func(rw http.ResponseWriter, r *http.Request) bool {
		if r.Header.Get("User-Agent") != cut {
			return false
		}
		rw.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	all[1].store.SetUserAgent(cut)
	c := tlstand.Config(5)
	c.Routes = c.Routes[:1]
	w.store.PutJSON(platform.TopicConfig, platform.KeyConfig, c)
	for _, i := range all {
		w.eventually(func() bool { return i.version() == 5 })
		assert.Equal(t, http.StatusNotFound, w.call(i, repeatableCall("id-1")).status)
	}
	w.store.PutJSON(platform.TopicConfig, platform.KeyConfig, tlstand.Config(4))
	w.store.PutJSON(platform.TopicConfig, platform.KeyConfig, "no configuration")
	w.store.PutJSON(platform.TopicConfig, platform.KeyConfig, tlstand.Config(6))
	w.eventually(func() bool { return all[0].version() == 6 })
}

func TestEndpointsAreAddedDrainedAndRemovedAndUnreadableEntriesIgnored(t *testing.T) {
	w := newTestCluster(t)
	e1 := w.startPlainEndpoint("e1")
	i := w.startInstance("a")
	require.Equal(t, http.StatusOK, w.call(i, onceCall("id-1")).status)
	w.store.Put(platform.TopicEndpoints, "bad-1", []byte("{"))
	w.store.Put(platform.TopicEndpoints, "bad-2", []byte(`{"service":"desk","address":7,"state":"ready"}`))
	w.store.Put(platform.TopicEndpoints, "bad-3", []byte(`{"service":"desk","address":"127.0.0.1:1","state":"dancing"}`))
	w.store.PutJSON(platform.TopicEndpoints, "e1", e1.Entry(tlstand.PlainService, "draining"))
	e2 := w.startPlainEndpoint("e2")
	w.eventually(func() bool {
		_, has := i.directory.Find("e2")
		_, drains := i.directory.Find("e1")
		return has && !drains
	})
	for n := range 5 {
		require.Equal(t, http.StatusOK, w.call(i, onceCall(fmt.Sprint("id-2-", n))).status)
	}
	assert.Len(t, e1.Arrivals(), 1)
	assert.Len(t, e2.Arrivals(), 5)
	w.store.Put(platform.TopicEndpoints, "e2", nil)
	w.eventually(func() bool { return w.call(i, onceCall("id-3")).status == http.StatusServiceUnavailable })
}

func TestRequestToReusedEndpointAddressIsNotRun(t *testing.T) {
	w := newTestCluster(t)
	old := w.startPlainEndpoint("old")
	i := w.startInstance("a")
	w.eventually(func() bool { return len(i.directory.Endpoints(tlstand.PlainService)) == 1 })
	old.ID = "new"
	a := w.call(i, onceCall("id-1"))
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.Equal(t, 0, runs("id-1", old))
}

func TestFullStoreOutageAndCompactedHistoryFailNoRequest(t *testing.T) {
	w := newTestCluster(t)
	w.startPlainEndpoint("e1")
	i := w.startInstance("a")
	w.store.SetIntercept(func(rw http.ResponseWriter, _ *http.Request) bool {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	f := i.followers[platform.TopicEndpoints]
	w.eventually(func() bool { return !f.IsFresh() && !f.FailedAt().IsZero() })
	assert.Equal(t, http.StatusOK, w.call(i, onceCall("id-1")).status)
	w.store.Put(platform.TopicEndpoints, "e1", nil)
	e2 := w.startPlainEndpoint("e2")
	w.store.Compact(platform.TopicEndpoints)
	w.store.SetIntercept(nil)
	w.eventually(func() bool {
		_, ok := i.directory.Find("e2")
		return ok
	})
	_, kept := i.directory.Find("e1")
	assert.True(t, kept, "an entry that disappeared in an outage is kept for a grace period")
	assert.Equal(t, http.StatusOK, w.call(i, onceCall("id-2")).status)
	assert.NotNil(t, e2)
}

func TestStoreCallsStayWithinTheConfiguredRate(t *testing.T) {
	w := newTestCluster(t)
	i := w.startInstance("a")
	before := w.store.Calls()
	time.Sleep(time.Second)
	calls := w.store.Calls() - before
	expected := int(time.Second/i.settings.Gateway.ListEvery + time.Second/i.settings.Gateway.InstancesEvery)
	assert.LessOrEqual(t, calls, expected+5)
}

func TestRolesChangeByFencedOrdersOnceTheWorkIsMeasured(t *testing.T) {
	w := newTestCluster(t)
	var prefillEngines []*tlstand.Endpoint
	for n := range 6 {
		prefillEngines = append(prefillEngines, w.startEngine(fmt.Sprint("p", n), "prefill"))
	}
	for n := range 6 {
		w.startEngine(fmt.Sprint("d", n), "decode").EventInterval = 300 * time.Millisecond
	}
	i := w.startInstance("a")
	orders := func() int {
		n := 0
		for _, e := range prefillEngines {
			n += len(e.Orders())
		}
		return n
	}
	time.Sleep(2 * time.Second)
	assert.Zero(t, orders(), "no role changes while nothing is known of the work")
	for n := range 4 {
		assert.Equal(t, threeEvents, w.call(i, streamCall(fmt.Sprint("id-", n), tlstand.StreamPath)).body)
	}
	w.eventually(func() bool { return orders() >= 3 })
	for _, e := range prefillEngines {
		for _, o := range e.Orders() {
			assert.Equal(t, "decode", o.Phase)
			assert.Equal(t, "a", o.Holder)
			assert.NotZero(t, o.FencingToken)
			assert.NotNil(t, o.Expected)
		}
	}
}

func TestRequestsWithoutConfigurationAreRefused(t *testing.T) {
	w := newTestCluster(t)
	i := w.startInstance("a")
	assert.Equal(t, http.StatusOK, w.readinessStatus(i))
	i.table.Store((*tlroute.Table)(nil))
	assert.Equal(t, http.StatusServiceUnavailable, w.readinessStatus(i))
	assert.Equal(t, http.StatusServiceUnavailable, w.call(i, onceCall("id-1")).status)
	r, err := w.client.Get("http://" + i.settings.Gateway.Lookup.String() + "/none")
	require.NoError(t, err)
	b, _ := io.ReadAll(r.Body)
	_ = r.Body.Close()
	assert.Equal(t, http.StatusNotFound, r.StatusCode)
	assert.NotContains(t, strings.ToLower(string(b)), "addresses")
}

// Guards against a store read that hangs on a silent connection and keeps an
// instance on an old configuration for longer than is allowed.
func TestInstanceWithHangingStoreReadGetsConfigurationFromPeer(t *testing.T) {
	w := newTestCluster(t)
	all := w.startFleet(2)
	hangs := all[1].settings.Name
	w.store.SetIntercept(func(_ http.ResponseWriter, r *http.Request) bool {
		if r.Header.Get("User-Agent") != hangs {
			return false
		}
		<-r.Context().Done()
		return true
	})
	all[1].store.SetUserAgent(hangs)
	w.store.PutJSON(platform.TopicConfig, platform.KeyConfig, tlstand.Config(5))
	w.eventually(func() bool { return all[0].version() == 5 })
	began := time.Now()
	w.eventually(func() bool { return all[1].version() == 5 })
	assert.Less(t, time.Since(began), 2*time.Second)
}

// Guards against an instance that is ready without endpoints, because it read the
// configuration before them.
func TestInstanceIsNotReadyBeforeEndpointsAreLoaded(t *testing.T) {
	w := newTestCluster(t)
	w.startPlainEndpoint("e1")
	w.store.SetIntercept(func(rw http.ResponseWriter, r *http.Request) bool {
		if !tlstand.IsForTopic(r, platform.TopicEndpoints) {
			return false
		}
		rw.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	l := logrus.New()
	l.SetOutput(io.Discard)
	i, err := New(w.settings("a"), l)
	require.NoError(t, err)
	t.Cleanup(func() { closeOnce(i) })
	require.NoError(t, i.Run(context.Background()))
	w.eventually(func() bool { return i.version() == 1 })
	assert.Equal(t, http.StatusServiceUnavailable, w.readinessStatus(i))
	w.store.SetIntercept(nil)
	w.eventually(func() bool { return w.readinessStatus(i) == http.StatusOK })
	assert.Equal(t, http.StatusOK, w.call(i, onceCall("id-1")).status)
}

func TestOnlyReadersCallTheStoreAndOthersGetTheSameRecords(t *testing.T) {
	w := newTestCluster(t)
	w.startPlainEndpoint("e1")
	all := w.startFleet(5)
	var others []*Instance
	for _, i := range all {
		if !i.isReader() {
			others = append(others, i)
		}
	}
	require.Len(t, others, 5-minReaders)
	asked := make(chan string, 1000)
	for _, i := range all {
		i.store.SetUserAgent(i.settings.Name)
	}
	w.store.SetIntercept(func(_ http.ResponseWriter, r *http.Request) bool {
		asked <- r.Header.Get("User-Agent")
		return false
	})
	w.store.PutJSON(platform.TopicConfig, platform.KeyConfig, tlstand.Config(7))
	w.startPlainEndpoint("e2")
	for _, i := range others {
		w.eventually(func() bool {
			_, known := i.directory.Find("e2")
			return known && i.version() == 7
		})
	}
	w.store.SetIntercept(nil)
	close(asked)
	for name := range asked {
		for _, i := range others {
			assert.NotEqual(t, i.settings.Name, name)
		}
	}
}

func TestLookupListsAtMost64AddressesNearestFirst(t *testing.T) {
	w := newTestCluster(t)
	i := w.startInstance("a")
	for n := range 100 {
		e := tlwire.Instance{
			Name: fmt.Sprint("z", n), Kind: tlwire.InstanceKindEntry, State: tlwire.InstanceStateLive,
			DataCentre: []string{"z", "far"}[n%2], Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n % 2), byte(n)}), 80),
		}
		data, err := tlcodec.Encode(e)
		require.NoError(t, err)
		w.store.Put(platform.TopicInstances, e.Name, data)
	}
	w.eventually(func() bool { return w.listsAddresses(i, maxAddresses) })
	near := 0
	for _, a := range i.addresses("z") {
		if a.Addr().Is4() && a.Addr().As4()[2] == 0 {
			near++
		}
	}
	assert.GreaterOrEqual(t, near, 50)
}

// Guards against an instance that loses the store alone and keeps endpoints that
// left meanwhile, as after an outage for all instances.
func TestInstanceAloneWithoutStoreRemovesDepartedEndpoints(t *testing.T) {
	w := newTestCluster(t)
	w.startPlainEndpoint("e1")
	w.startPlainEndpoint("e2")
	all := w.startFleet(2)
	cut := all[1].settings.Name
	all[1].store.SetUserAgent(cut)
	w.store.SetIntercept(func(rw http.ResponseWriter, r *http.Request) bool {
		if r.Header.Get("User-Agent") != cut {
			return false
		}
		rw.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	w.eventually(func() bool { return !all[1].followers[platform.TopicEndpoints].IsFresh() })
	w.store.Put(platform.TopicEndpoints, "e1", nil)
	gone := func() bool {
		_, known := all[1].directory.Find("e1")
		return !known
	}
	began := time.Now()
	w.eventually(gone)
	assert.Less(t, time.Since(began), 1500*time.Millisecond, "within the bound for endpoints that leave")
	w.store.SetIntercept(nil)
	w.eventually(func() bool { return all[1].followers[platform.TopicEndpoints].IsFresh() })
	assert.True(t, gone())
}
