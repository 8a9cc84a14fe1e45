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

// lookup returns the addresses that an instance tells callers.
func (w *world) lookup(i *Instance) []string {
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

func (w *world) ready(i *Instance) int {
	r, err := w.client.Get("http://" + i.settings.Gateway.Readiness.String() + tlstand.ReadinessPath)
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	return r.StatusCode
}

// knows says whether an instance tells callers of so many.
func (w *world) knows(i *Instance, n int) bool {
	return len(w.lookup(i)) == n
}

// fleet starts instances that know each other.
func (w *world) fleet(n int) []*Instance {
	var all []*Instance
	for k := range n {
		all = append(all, w.start(fmt.Sprint("i", k)))
	}
	for _, i := range all {
		w.eventually(func() bool { return len(w.lookup(i)) == n })
	}
	return all
}

func TestAllInstancesAskOneHomeAndItsLossCostsNoRequest(t *testing.T) {
	w := newWorld(t)
	w.engines()
	all := w.fleet(3)
	home := all[0].gossip.Oldest(tlstand.ModelService, homeChoices)
	var rest []*Instance
	var lost *Instance
	for _, i := range all {
		assert.Equal(t, home, i.gossip.Oldest(tlstand.ModelService, homeChoices))
		if i.settings.Name == home {
			lost = i
			continue
		}
		rest = append(rest, i)
	}
	assert.Equal(t, threeEvents, w.call(rest[0], stream("id-1", tlstand.StreamPath)).body)
	lost.Close()
	for n, i := range rest {
		a := w.call(i, stream(fmt.Sprint("id-2-", n), tlstand.StreamPath))
		assert.Equal(t, threeEvents, a.body, "served while the home is being replaced")
	}
	w.eventually(func() bool { return len(w.lookup(rest[0])) == 2 })
}

func TestALeavingInstanceIsNeitherReadyNorLookedUpAndEndsWhatItHas(t *testing.T) {
	w := newWorld(t)
	e := w.plain("e1")
	release := make(chan struct{})
	e.Intercept = func(_ http.ResponseWriter, _ *http.Request, _ *tlstand.Arrival) bool {
		<-release
		return false
	}
	all := w.fleet(2)
	got := make(chan answer, 1)
	go func() { got <- w.call(all[0], pay("id-1")) }()
	w.eventually(func() bool { return len(e.Arrivals()) == 1 })
	drained := make(chan struct{})
	go func() {
		all[0].Drain(context.Background())
		close(drained)
	}()
	w.eventually(func() bool { return w.ready(all[0]) == http.StatusServiceUnavailable })
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

func TestAConfigurationIsInForceEverywhereAlsoWhereTheStoreIsAway(t *testing.T) {
	w := newWorld(t)
	w.plain("e1")
	all := w.fleet(2)
	cut := all[1].settings.Name
	w.store.SetAway(func(rw http.ResponseWriter, r *http.Request) bool {
		if r.Header.Get("User-Agent") != cut {
			return false
		}
		rw.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	all[1].store.SetAgent(cut)
	c := tlstand.Config(5)
	c.Routes = c.Routes[:1]
	w.store.PutJSON(platform.TopicConfig, platform.KeyConfig, c)
	for _, i := range all {
		w.eventually(func() bool { return i.version() == 5 })
		assert.Equal(t, http.StatusNotFound, w.call(i, stock("id-1")).status)
	}
	w.store.PutJSON(platform.TopicConfig, platform.KeyConfig, tlstand.Config(4))
	w.store.PutJSON(platform.TopicConfig, platform.KeyConfig, "no configuration")
	w.store.PutJSON(platform.TopicConfig, platform.KeyConfig, tlstand.Config(6))
	w.eventually(func() bool { return all[0].version() == 6 })
}

func TestEndpointsComeDrainAndGoAndUnreadableEntriesAreLeftOut(t *testing.T) {
	w := newWorld(t)
	e1 := w.plain("e1")
	i := w.start("a")
	require.Equal(t, http.StatusOK, w.call(i, pay("id-1")).status)
	w.store.Put(platform.TopicEndpoints, "bad-1", []byte("{"))
	w.store.Put(platform.TopicEndpoints, "bad-2", []byte(`{"service":"desk","address":7,"state":"ready"}`))
	w.store.Put(platform.TopicEndpoints, "bad-3", []byte(`{"service":"desk","address":"127.0.0.1:1","state":"dancing"}`))
	w.store.PutJSON(platform.TopicEndpoints, "e1", e1.Entry(tlstand.PlainService, "draining"))
	e2 := w.plain("e2")
	w.eventually(func() bool {
		_, has := i.directory.Find("e2")
		_, drains := i.directory.Find("e1")
		return has && !drains
	})
	for n := range 5 {
		require.Equal(t, http.StatusOK, w.call(i, pay(fmt.Sprint("id-2-", n))).status)
	}
	assert.Len(t, e1.Arrivals(), 1)
	assert.Len(t, e2.Arrivals(), 5)
	w.store.Put(platform.TopicEndpoints, "e2", nil)
	w.eventually(func() bool { return w.call(i, pay("id-3")).status == http.StatusServiceUnavailable })
}

func TestAnEndpointsAddressThatBelongsToAnotherRunsNothing(t *testing.T) {
	w := newWorld(t)
	old := w.plain("old")
	i := w.start("a")
	w.eventually(func() bool { return len(i.directory.Endpoints(tlstand.PlainService)) == 1 })
	old.ID = "new"
	a := w.call(i, pay("id-1"))
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.Equal(t, 0, runs("id-1", old))
}

func TestAWholeOutageOfTheStoreAndItsForgottenHistoryCostNothing(t *testing.T) {
	w := newWorld(t)
	w.plain("e1")
	i := w.start("a")
	w.store.SetAway(func(rw http.ResponseWriter, _ *http.Request) bool {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	w.eventually(func() bool { return !i.followers[platform.TopicEndpoints].IsFresh() })
	assert.Equal(t, http.StatusOK, w.call(i, pay("id-1")).status)
	w.store.Put(platform.TopicEndpoints, "e1", nil)
	e2 := w.plain("e2")
	w.store.Compact(platform.TopicEndpoints)
	w.store.SetAway(nil)
	w.eventually(func() bool {
		_, ok := i.directory.Find("e2")
		return ok
	})
	_, kept := i.directory.Find("e1")
	assert.True(t, kept, "an entry that vanished in an outage is kept for a while")
	assert.Equal(t, http.StatusOK, w.call(i, pay("id-2")).status)
	assert.NotNil(t, e2)
}

func TestTheStoreIsAskedSeldom(t *testing.T) {
	w := newWorld(t)
	i := w.start("a")
	before := w.store.Calls()
	time.Sleep(time.Second)
	calls := w.store.Calls() - before
	expected := int(time.Second/i.settings.Gateway.ListEvery + time.Second/i.settings.Gateway.InstancesEvery)
	assert.LessOrEqual(t, calls, expected+5)
}

func TestRolesMoveByFencedOrdersBeforeTraffic(t *testing.T) {
	w := newWorld(t)
	var readers []*tlstand.Endpoint
	for n := range 6 {
		readers = append(readers, w.engine(fmt.Sprint("p", n), "prefill"))
	}
	for n := range 6 {
		w.engine(fmt.Sprint("d", n), "decode")
	}
	w.start("a")
	orders := func() int {
		n := 0
		for _, e := range readers {
			n += len(e.Orders())
		}
		return n
	}
	w.eventually(func() bool { return orders() >= 3 })
	for _, e := range readers {
		for _, o := range e.Orders() {
			assert.Equal(t, "decode", o.Phase)
			assert.Equal(t, "a", o.Holder)
			assert.NotZero(t, o.FencingToken)
			assert.NotNil(t, o.Expected)
		}
	}
}

func TestLookupsBeforeAConfigurationAreRefused(t *testing.T) {
	w := newWorld(t)
	i := w.start("a")
	assert.Equal(t, http.StatusOK, w.ready(i))
	i.table.Store((*tlroute.Table)(nil))
	assert.Equal(t, http.StatusServiceUnavailable, w.ready(i))
	assert.Equal(t, http.StatusServiceUnavailable, w.call(i, pay("id-1")).status)
	r, err := w.client.Get("http://" + i.settings.Gateway.Lookup.String() + "/none")
	require.NoError(t, err)
	b, _ := io.ReadAll(r.Body)
	_ = r.Body.Close()
	assert.Equal(t, http.StatusNotFound, r.StatusCode)
	assert.NotContains(t, strings.ToLower(string(b)), "addresses")
}

// A read of the store that hangs on a connection gone silent once kept an
// instance behind for longer than a configuration may take.
func TestAnInstanceWhoseReadHangsTakesAConfigurationFromAnother(t *testing.T) {
	w := newWorld(t)
	all := w.fleet(2)
	hangs := all[1].settings.Name
	w.store.SetAway(func(_ http.ResponseWriter, r *http.Request) bool {
		if r.Header.Get("User-Agent") != hangs {
			return false
		}
		<-r.Context().Done()
		return true
	})
	all[1].store.SetAgent(hangs)
	w.store.PutJSON(platform.TopicConfig, platform.KeyConfig, tlstand.Config(5))
	w.eventually(func() bool { return all[0].version() == 5 })
	began := time.Now()
	w.eventually(func() bool { return all[1].version() == 5 })
	assert.Less(t, time.Since(began), 2*time.Second)
}

// A configuration that was read before the endpoints once made an instance
// ready that knew no endpoint.
func TestAnInstanceIsNotReadyBeforeItKnowsTheEndpoints(t *testing.T) {
	w := newWorld(t)
	w.plain("e1")
	w.store.SetAway(func(rw http.ResponseWriter, r *http.Request) bool {
		if !tlstand.IsFor(r, platform.TopicEndpoints) {
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
	assert.Equal(t, http.StatusServiceUnavailable, w.ready(i))
	w.store.SetAway(nil)
	w.eventually(func() bool { return w.ready(i) == http.StatusOK })
	assert.Equal(t, http.StatusOK, w.call(i, pay("id-1")).status)
}

func TestOnlyReadersAskTheStoreAndTheOthersKnowAsMuch(t *testing.T) {
	w := newWorld(t)
	w.plain("e1")
	all := w.fleet(5)
	var others []*Instance
	for _, i := range all {
		if !i.isReader() {
			others = append(others, i)
		}
	}
	require.Len(t, others, 5-leastReaders)
	asked := make(chan string, 1000)
	for _, i := range all {
		i.store.SetAgent(i.settings.Name)
	}
	w.store.SetAway(func(_ http.ResponseWriter, r *http.Request) bool {
		asked <- r.Header.Get("User-Agent")
		return false
	})
	w.store.PutJSON(platform.TopicConfig, platform.KeyConfig, tlstand.Config(7))
	w.plain("e2")
	for _, i := range others {
		w.eventually(func() bool {
			_, known := i.directory.Find("e2")
			return known && i.version() == 7
		})
	}
	w.store.SetAway(nil)
	close(asked)
	for name := range asked {
		for _, i := range others {
			assert.NotEqual(t, i.settings.Name, name)
		}
	}
}

func TestALookupNamesAtMostSixtyFourTheNearOnesFirst(t *testing.T) {
	w := newWorld(t)
	i := w.start("a")
	for n := range 100 {
		e := tlwire.Instance{
			Name: fmt.Sprint("z", n), Kind: tlwire.InstanceKindEntry, State: tlwire.InstanceStateLive,
			DataCentre: []string{"z", "far"}[n%2], Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n % 2), byte(n)}), 80),
		}
		data, err := tlcodec.Encode(e)
		require.NoError(t, err)
		w.store.Put(platform.TopicInstances, e.Name, data)
	}
	w.eventually(func() bool { return w.knows(i, mostAddresses) })
	near := 0
	for _, a := range i.addresses("z") {
		if a.Addr().Is4() && a.Addr().As4()[2] == 0 {
			near++
		}
	}
	assert.GreaterOrEqual(t, near, 50)
}

// An instance that alone was cut from the store once kept endpoints that had
// left meanwhile, as after an outage for all.
func TestAnInstanceCutOffAloneDropsWhatHasLeft(t *testing.T) {
	w := newWorld(t)
	w.plain("e1")
	w.plain("e2")
	all := w.fleet(2)
	cut := all[1].settings.Name
	all[1].store.SetAgent(cut)
	w.store.SetAway(func(rw http.ResponseWriter, r *http.Request) bool {
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
	w.store.SetAway(nil)
	w.eventually(func() bool { return all[1].followers[platform.TopicEndpoints].IsFresh() })
	assert.True(t, gone())
}
