package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/io/tlgateway"
	"trefoillanding/io/tlguard"
	"trefoillanding/platform/tlstand"
)

// cutFleet is instances of which the first ones can be cut off from all endpoints.
type cutFleet struct {
	*versionFleet
	plain    []*tlstand.Endpoint
	networks []*cuttableNetwork
}

// newCutFleet starts three instances, of which each has a network of its own.
func newCutFleet(t testing.TB) *cutFleet {
	f := &cutFleet{versionFleet: newVersionFleet(t, 0, "v1")}
	for n := range 3 {
		f.plain = append(f.plain, f.w.startPlainEndpoint(fmt.Sprint("e", n)))
	}
	for n := range 3 {
		k := newCuttableNetwork()
		t.Cleanup(k.heal)
		i := f.w.newCuttableInstance(fmt.Sprint("i", n), k)
		f.networks, f.instances = append(f.networks, k), append(f.instances, i)
	}
	for _, i := range f.instances {
		f.w.eventually(func() bool {
			return len(i.gossip.Live()) == 3 && len(i.directory.InUse(tlstand.ModelService))+len(i.directory.InUse(tlstand.PlainService)) == 6
		})
	}
	return f
}

// isCutOff reports whether an instance is cut off from a service.
func isCutOff(i *Instance) bool {
	return i.prober.IsCut(tlstand.ModelService) || i.prober.IsCut(tlstand.PlainService)
}

func (f *cutFleet) engines() []*tlstand.Endpoint { return f.byVersion["v1"] }

// call sends one call of a kind, drawn by its number, to an instance.
func (f *cutFleet) call(i *Instance) (id string, a answer, err error) {
	n := f.calls.Add(1)
	id = fmt.Sprint("id-", n)
	kinds := []func(string) tlstand.Call{onceCall, repeatableCall, plainStreamCall, resumableCall}
	c := kinds[int(n)%len(kinds)](id)
	c.Deadline = 4 * time.Second
	a, err = f.w.send(i, c)
	return id, a, err
}

// play sends calls to an instance for some time, and returns how many were served of how many.
func (f *cutFleet) play(i *Instance, d time.Duration) (served, sent int) {
	var calling sync.WaitGroup
	var ok atomic.Int32
	for began := time.Now(); time.Since(began) < d; time.Sleep(30 * time.Millisecond) {
		sent++
		calling.Go(func() {
			_, a, err := f.call(i)
			if err == nil && a.status == http.StatusOK && a.isComplete && a.seal != "" {
				ok.Add(1)
			}
		})
	}
	calling.Wait()
	return int(ok.Load()), sent
}

// shorten makes streams short, so that a test may play many.
func (f *cutFleet) shorten() *cutFleet {
	for _, e := range f.engines() {
		e.Events, e.EventInterval = 3, 5*time.Millisecond
	}
	return f
}

// ranTwice counts the requests that may run once at most and ran more often.
func (f *cutFleet) ranTwice() int {
	count := map[string]int{}
	for _, e := range f.plain {
		for _, a := range e.Arrivals() {
			if a.Ran && a.RequestURI != "" && len(a.Body) > 0 {
				count[a.ID]++
			}
		}
	}
	n := 0
	for _, k := range count {
		if k > 1 {
			n++
		}
	}
	return n
}

func TestCallersOfACutInstanceAreNotServed(t *testing.T) {
	t.Parallel()
	for name, mode := range cutModes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCutFleet(t).shorten()
			f.play(f.instances[0], 300*time.Millisecond)
			f.networks[0].cut(mode)
			f.play(f.instances[0], time.Second)
			served, sent := f.play(f.instances[0], 2*time.Second)
			assert.GreaterOrEqual(t, served*10, sent*9, "%d of %d", served, sent)
			f.networks[0].heal()
			f.w.eventually(func() bool { return !isCutOff(f.instances[0]) })
			forwarded := f.instances[0].counters.gateway.Value(tlgateway.Forwarded)
			served, sent = f.play(f.instances[0], time.Second)
			assert.GreaterOrEqual(t, served*10, sent*9, "%d of %d after the cut", served, sent)
			assert.Equal(t, forwarded, f.instances[0].counters.gateway.Value(tlgateway.Forwarded), "the own path is used again")
			assert.Zero(t, f.ranTwice())
		})
	}
}

func TestCallersOfAnInstanceThatIsCutOffFromOneServiceAreNotServed(t *testing.T) {
	t.Parallel()
	for name, mode := range cutModes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCutFleet(t).shorten()
			f.networks[0].spared = map[string]bool{}
			for _, e := range f.plain {
				f.networks[0].spared[e.Address().String()] = true
			}
			f.networks[0].cut(mode)
			f.play(f.instances[0], time.Second)
			served, sent := f.play(f.instances[0], time.Second)
			assert.GreaterOrEqual(t, served*10, sent*9, "%d of %d", served, sent)
			assert.False(t, f.instances[0].prober.IsCut(tlstand.PlainService))
		})
	}
}

func TestStreamOfAnInstanceThatIsCutOffBreaksOff(t *testing.T) {
	t.Parallel()
	for name, mode := range cutModes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCutFleet(t)
			for _, e := range f.engines() {
				e.EventInterval = 20 * time.Millisecond
			}
			var all []*begunStream
			for range 4 {
				all = append(all, f.begin(f.instances[0]))
			}
			f.networks[0].cut(mode)
			for _, s := range all {
				assert.True(t, s.readAll(slowEvents), "ended after event %s", s.last)
			}
		})
	}
}

func TestRequestOfACutFleetGoesInACircle(t *testing.T) {
	t.Parallel()
	f := newCutFleet(t).shorten()
	for _, k := range f.networks {
		k.cut(refuses)
	}
	f.play(f.instances[0], 500*time.Millisecond)
	for range 8 {
		began := time.Now()
		_, a, err := f.call(f.instances[0])
		require.NoError(t, err)
		assert.Equal(t, "NotRun", a.header.Get("Trefoil-Verdict"))
		assert.Less(t, time.Since(began), time.Second, "refused at once")
	}
	f.networks[2].heal()
	f.w.eventually(func() bool { return !isCutOff(f.instances[2]) })
	served, sent := f.play(f.instances[0], 500*time.Millisecond)
	assert.GreaterOrEqual(t, served*10, sent*9, "%d of %d", served, sent)
}

func TestCutQuarantinesSoundRequests(t *testing.T) {
	t.Parallel()
	f := newCutFleet(t)
	for _, e := range f.plain {
		e.Intercept = func(http.ResponseWriter, *http.Request, *tlstand.Arrival) bool {
			time.Sleep(100 * time.Millisecond)
			return false
		}
	}
	for range 3 {
		var calling sync.WaitGroup
		for range 8 {
			calling.Go(func() {
				c := repeatableCall(fmt.Sprint("same-", f.calls.Add(1)))
				_, err := f.w.send(f.instances[0], c)
				assert.True(t, err == nil || !errors.Is(err, context.Canceled))
			})
		}
		time.Sleep(50 * time.Millisecond)
		f.networks[0].cut(resets)
		calling.Wait()
		time.Sleep(repetitionInterval)
		f.networks[0].heal()
		f.w.eventually(func() bool { return !isCutOff(f.instances[0]) })
	}
	for _, i := range f.instances {
		assert.Zero(t, i.counters.guard.Value(tlguard.Crashed))
		assert.Zero(t, i.counters.guard.Value(tlguard.Quarantined))
		assert.Equal(t, http.StatusOK, f.w.call(i, repeatableCall(fmt.Sprint("after-", f.calls.Add(1)))).status)
	}
}

// Guards against a home that takes what a cut instance, or it itself while cut, could not
// reach for failed, and places no more there.
func TestCutOfAnInstanceTakesEnginesFromTheOthers(t *testing.T) {
	t.Parallel()
	for name, mode := range cutModes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for cut := range 3 {
				f := newCutFleet(t).shorten()
				other := f.instances[(cut+1)%3]
				f.networks[cut].cut(mode)
				var playing sync.WaitGroup
				playing.Go(func() { f.play(f.instances[cut], 2500*time.Millisecond) })
				time.Sleep(500 * time.Millisecond)
				served, sent := f.play(other, 2*time.Second)
				playing.Wait()
				assert.GreaterOrEqual(t, served*20, sent*19, "%d of %d at another, %d cut off", served, sent, cut)
				for _, i := range f.instances {
					assert.Zero(t, i.counters.gateway.Value(tlgateway.EngineSilent))
				}
			}
		})
	}
}

func TestSilenceOfOneEndpointIsTakenForACut(t *testing.T) {
	t.Parallel()
	f := newCutFleet(t).shorten()
	silent := make(chan struct{})
	holdUntil(silent, f.plain[0])
	go func() {
		time.Sleep(1200 * time.Millisecond)
		close(silent)
	}()
	served, sent := f.play(f.instances[0], 1500*time.Millisecond)
	assert.GreaterOrEqual(t, served*20, sent*19, "%d of %d", served, sent)
	assert.Zero(t, f.instances[0].counters.gateway.Value(tlgateway.Forwarded))
	assert.False(t, isCutOff(f.instances[0]))
}

func TestDrainCutsARequestThatAnotherInstanceForwarded(t *testing.T) {
	t.Parallel()
	f := newCutFleet(t)
	f.networks[0].cut(refuses)
	answered := make(chan answer, 1)
	go func() {
		c := plainStreamCall("id")
		c.Deadline = testTimeout
		answered <- f.w.call(f.instances[0], c)
	}()
	var peer *Instance
	f.w.eventually(func() bool {
		for _, i := range f.instances[1:] {
			if i.open() > 0 && f.arrivals("v1", "id") > 0 {
				peer = i
			}
		}
		return peer != nil
	})
	peer.Drain(context.Background())
	closeOnce(peer)
	a := <-answered
	assert.Equal(t, http.StatusOK, a.status)
	assert.True(t, a.isComplete)
	assert.EqualValues(t, 1, f.instances[0].counters.gateway.Value(tlgateway.Forwarded))
}

func TestForwardedRequestHasMoreThanItsTime(t *testing.T) {
	t.Parallel()
	f := newCutFleet(t)
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	for _, e := range f.plain {
		holdUntil(hold, e)
	}
	f.networks[0].cut(refuses)
	c := onceCall("late")
	c.Deadline = 700 * time.Millisecond
	began := time.Now()
	a := f.w.call(f.instances[0], c)
	assert.Equal(t, http.StatusGatewayTimeout, a.status)
	assert.Less(t, time.Since(began), 900*time.Millisecond)
	assert.Equal(t, 1, func() int {
		n := 0
		for _, e := range f.plain {
			n += len(e.Arrivals())
		}
		return n
	}())
}
