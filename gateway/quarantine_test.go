package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/io/tlbooking"
	"trefoillanding/io/tlguard"
	"trefoillanding/platform"
	"trefoillanding/platform/tlstand"
)

const (
	// crashingPart is the part of a prompt on which the engines of a crashFleet end.
	crashingPart = "bad0c0de"
	// sharedPart is a part that requests with and without crashingPart have in common.
	sharedPart = "5c1e07a2"
	// crashesBefore is the number of crashes before which nothing is asked of the router.
	crashesBefore = 5
	// crashSettleTime is how long after that it may take to act.
	crashSettleTime = time.Second
	// maxSentAfter is how many requests may still reach engines then.
	maxSentAfter = 3
	// crashInterval is the time between two requests with crashingPart.
	crashInterval = 250 * time.Millisecond
	// requestsAfter is how many of them are sent after crashSettleTime.
	requestsAfter = 12
)

// crashFleet is instances with engines that crash on crashingPart and come back under new IDs.
type crashFleet struct {
	w            *testCluster
	restartAfter time.Duration
	all          []*Instance
	restarts     sync.WaitGroup

	mu      sync.Mutex
	engines []*tlstand.Endpoint
	crashes int
	sent    int
}

func newCrashFleet(t *testing.T, instances, decoders int, restartAfter time.Duration) *crashFleet {
	f := &crashFleet{w: newTestCluster(t), restartAfter: restartAfter}
	t.Cleanup(f.restarts.Wait)
	for n := range 2 {
		f.startEngine(fmt.Sprint("p", n), "prefill", n)
	}
	for n := range decoders {
		f.startEngine(fmt.Sprint("d", n), "decode", n)
	}
	f.all = f.w.startFleet(instances)
	return f
}

// startEngine starts an engine; those with an odd number send the answer's header before they crash.
func (f *crashFleet) startEngine(id, phase string, n int) {
	e := tlstand.NewEndpoint(id, phase)
	e.EventInterval = 15 * time.Millisecond
	e.Crash = &tlstand.Crash{Part: crashingPart, After: 20 * time.Millisecond, SendsHeader: n%2 == 1, Ended: func() {
		f.mu.Lock()
		f.crashes++
		f.mu.Unlock()
		f.restarts.Go(func() {
			time.Sleep(f.restartAfter)
			f.w.store.Put(platform.TopicEndpoints, id, nil)
			f.startEngine(id+"r", phase, n+1)
		})
	}}
	f.w.t.Cleanup(e.Close)
	f.mu.Lock()
	f.engines = append(f.engines, e)
	f.mu.Unlock()
	f.w.store.PutJSON(platform.TopicEndpoints, id, e.Entry(tlstand.ModelService, "ready"))
}

func (f *crashFleet) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes
}

// arrivals counts the requests with a part that reached any engine, prefills included.
func (f *crashFleet) arrivals(part string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.engines {
		for _, a := range e.Arrivals() {
			if slices.Contains(a.Parts, part) {
				n++
			}
		}
	}
	return n
}

// call sends a request with the given shared parts, each time at another instance and by turns on both routes.
func (f *crashFleet) call(shared ...string) answer {
	f.mu.Lock()
	n := f.sent
	f.sent++
	f.mu.Unlock()
	c := streamCall(fmt.Sprint("id-", n), []string{tlstand.StreamPath, tlstand.ResumablePath}[n/len(f.all)%2])
	c.Parts = append(shared, fmt.Sprintf("e%06x", n))
	a, _ := f.w.send(f.all[n%len(f.all)], c)
	return a
}

// crash sends requests until crashesBefore engines have crashed, or the router has stepped in.
func (f *crashFleet) crash(parts func(n int) []string) {
	for n := 0; n < 3*crashesBefore && f.crashCount() < crashesBefore; n++ {
		f.call(parts(n)...)
		time.Sleep(crashInterval)
	}
	require.NotZero(f.w.t, f.crashCount())
	time.Sleep(crashSettleTime)
}

// assertRefused sends further requests and asserts that the router refuses them.
func (f *crashFleet) assertRefused(parts func(n int) []string, maxSent int) {
	f.w.t.Helper()
	before := f.arrivals(crashingPart)
	refused := 0
	for n := range requestsAfter {
		began := time.Now()
		a := f.call(parts(1000 + n)...)
		isAtOnce := time.Since(began) < 500*time.Millisecond
		if a.status == http.StatusServiceUnavailable && a.header.Get("Trefoil-Verdict") == "NotRun" && a.header.Get("Retry-After") != "" && isAtOnce {
			refused++
		}
		time.Sleep(crashInterval / 2)
	}
	assert.LessOrEqual(f.w.t, f.arrivals(crashingPart)-before, maxSent, "requests with the part that reached engines")
	assert.GreaterOrEqual(f.w.t, refused, requestsAfter-maxSent, "requests that were refused at once, as not run")
}

// crashingSecond returns the parts of a prompt whose second part crashes engines.
func crashingSecond(n int) []string {
	return []string{sharedPart, crashingPart, fmt.Sprintf("c%06x", n)}
}

// crashingFirst returns the parts of a prompt whose first part crashes engines.
func crashingFirst(n int) []string {
	return []string{crashingPart, fmt.Sprintf("c%06x", n)}
}

func TestAPartThatCrashesEnginesGoesOnReachingThem(t *testing.T) {
	f := newCrashFleet(t, 3, 6, 300*time.Millisecond)
	f.crash(crashingSecond)
	f.assertRefused(crashingSecond, maxSentAfter)
}

func TestAFirstPartThatCrashesEnginesGoesOnReachingThem(t *testing.T) {
	f := newCrashFleet(t, 3, 6, 300*time.Millisecond)
	// The first requests are on the route whose streams are sent again.
	f.sent = len(f.all)
	f.crash(crashingFirst)
	f.assertRefused(crashingFirst, maxSentAfter)
}

// Sound requests with the same first part suffer for as long as the others come.
func TestSoundRequestsSufferFromAPartThatCrashesEngines(t *testing.T) {
	f := newCrashFleet(t, 3, 2, 1500*time.Millisecond)
	f.crash(crashingSecond)
	f.w.eventually(func() bool { return f.call(sharedPart, "d00d").body == threeEvents })
	var calls sync.WaitGroup
	var served atomic.Int64
	sent := 8 * requestsAfter
	for n := range sent {
		if n%4 == 0 {
			calls.Go(func() { f.call(crashingSecond(n)...) })
		}
		calls.Go(func() {
			if f.call(sharedPart, fmt.Sprintf("f%06x", n)).body == threeEvents {
				served.Add(1)
			}
		})
		time.Sleep(crashInterval / 8)
	}
	calls.Wait()
	assert.GreaterOrEqual(t, 2*int(served.Load()), sent, "requests served")
	assert.Equal(t, threeEvents, f.call(sharedPart, "d00d").body)
}

func TestAPartThatCrashesEnginesIsForgottenWhenAllInstancesRestart(t *testing.T) {
	f := newCrashFleet(t, 3, 6, 300*time.Millisecond)
	f.crash(crashingSecond)
	for _, i := range f.all {
		i.Close()
	}
	f.all = f.w.startFleet(len(f.all))
	f.assertRefused(crashingSecond, maxSentAfter)
}

// closeHome closes the home of a service and returns the other instances.
func closeHome(all []*Instance, service string) []*Instance {
	home := all[0].homeOf(service)
	return slices.DeleteFunc(slices.Clone(all), func(i *Instance) bool {
		if i.settings.Name != home {
			return false
		}
		i.Close()
		return true
	})
}

func TestAPartThatCrashesEnginesIsForgottenWhenTheHomeChanges(t *testing.T) {
	f := newCrashFleet(t, 3, 6, 300*time.Millisecond)
	f.crash(crashingSecond)
	f.all = closeHome(f.all, tlstand.ModelService)
	f.assertRefused(crashingSecond, maxSentAfter)
}

// A fault of the network cuts many engines off at one moment; no prompt is to blame.
func TestANetworkFaultPutsNoPartInQuarantine(t *testing.T) {
	f := newCrashFleet(t, 3, 8, 300*time.Millisecond)
	for _, e := range f.engines {
		e.EventInterval = 0
		e.Intercept = func(_ http.ResponseWriter, r *http.Request, a *tlstand.Arrival) bool {
			if a.Stage != "" {
				return false
			}
			<-r.Context().Done()
			return true
		}
	}
	var calls sync.WaitGroup
	for range 24 {
		calls.Go(func() { f.call(sharedPart, "ab12") })
	}
	f.w.eventually(func() bool { return f.arrivals(sharedPart) >= 24 })
	time.Sleep(100 * time.Millisecond)
	for _, e := range f.engines {
		e.ResetConnections()
	}
	calls.Wait()
	for _, e := range f.engines {
		f.w.store.Put(platform.TopicEndpoints, e.ID, nil)
	}
	for n := range 4 {
		f.startEngine(fmt.Sprint("n", n), "decode", n)
	}
	f.w.eventually(func() bool { return f.call(sharedPart, "ab12").body == threeEvents })
	for range 12 {
		assert.Equal(t, threeEvents, f.call(sharedPart, "ab12").body)
	}
}

// Silence is no crash: an engine that has sent no event for long may only be slow.
func TestSilentEnginesPutNoPartInQuarantine(t *testing.T) {
	f := newCrashFleet(t, 1, 0, 0)
	for n := range 6 {
		e := f.w.startEngine(fmt.Sprint("s", n), "decode")
		e.Intercept = func(rw http.ResponseWriter, r *http.Request, _ *tlstand.Arrival) bool {
			tlstand.RespondSealed(rw, http.StatusOK, "seal")
			_ = http.NewResponseController(rw).Flush()
			<-r.Context().Done()
			return true
		}
	}
	f.w.eventually(func() bool { return len(f.all[0].directory.Endpoints(tlstand.ModelService)) == 8 })
	var calls sync.WaitGroup
	for n := range 6 {
		c := streamCall(fmt.Sprint("id-", n), tlstand.ResumablePath)
		c.Parts, c.Deadline = []string{sharedPart, "e1"}, 3*time.Second
		calls.Go(func() { _, _ = f.w.send(f.all[0], c) })
		time.Sleep(crashInterval)
	}
	calls.Wait()
	assert.GreaterOrEqual(t, f.all[0].counters.reservations.Value(tlbooking.PlacedLocally), int64(6))
	assert.Zero(t, f.all[0].counters.guard.Value(tlguard.Quarantined))
}

func TestTracesDoNotTellWhichPartsAPromptShares(t *testing.T) {
	w := newTestCluster(t)
	w.startEngine("p", "prefill")
	d := w.startEngine("d1", "decode")
	d.Intercept = func(_ http.ResponseWriter, _ *http.Request, _ *tlstand.Arrival) bool {
		panic(http.ErrAbortHandler)
	}
	i := w.startInstance("a")
	hook := logtest.NewLocal(i.log.Logger)
	c := streamCall("id-1", tlstand.StreamPath)
	c.Parts = []string{sharedPart, crashingPart, "e1"}
	w.call(i, c)
	var parts any
	w.eventually(func() bool {
		for _, e := range hook.AllEntries() {
			if e.Message == "routed" {
				parts = e.Data["Parts"]
			}
		}
		return parts != nil
	})
	assert.Equal(t, []string{sharedPart, crashingPart}, parts)
}

func TestTracesDoNotTellWhichRequestsAreTheSame(t *testing.T) {
	w := newTestCluster(t)
	e := w.startPlainEndpoint("e1")
	e.Intercept = func(_ http.ResponseWriter, _ *http.Request, _ *tlstand.Arrival) bool {
		panic(http.ErrAbortHandler)
	}
	i := w.startInstance("a")
	hook := logtest.NewLocal(i.log.Logger)
	for n, path := range []string{"same", "same", "other"} {
		c := repeatableCall(fmt.Sprint("id-", n))
		c.Path = tlstand.IdempotentPath + path
		w.call(i, c)
	}
	var marks []string
	w.eventually(func() bool {
		marks = nil
		for _, e := range hook.AllEntries() {
			if e.Message == "identified" {
				marks = append(marks, fmt.Sprint(e.Data["RequestParts"]))
			}
		}
		return len(marks) == 3
	})
	assert.Equal(t, marks[0], marks[1])
	assert.NotEqual(t, marks[0], marks[2])
}

// A stream that is sent again has begun at the engine before; the next one may crash on it all the same.
func TestCrashOfTheSecondEngineOfAStreamIsNotCounted(t *testing.T) {
	f := newCrashFleet(t, 1, 0, 0)
	var mu sync.Mutex
	seen := map[string]int{}
	for n := range 10 {
		e := f.w.startEngine(fmt.Sprint("e", n), "decode")
		// The first engine breaks off after an event and lives on; the second ends before one.
		e.Intercept = func(w http.ResponseWriter, r *http.Request, a *tlstand.Arrival) bool {
			mu.Lock()
			seen[a.ID]++
			isFirst := seen[a.ID] == 1
			mu.Unlock()
			if isFirst {
				e.Stream(w, r, a, 1)
				panic(http.ErrAbortHandler)
			}
			return false
		}
		e.Crash = &tlstand.Crash{IsDue: func(*tlstand.Arrival) bool { return true }, Ended: func() {}}
	}
	i := f.all[0]
	f.w.eventually(func() bool { return len(i.directory.Endpoints(tlstand.ModelService)) == 12 })
	quarantined := func() bool { return i.counters.guard.Value(tlguard.Quarantined) > 0 }
	for n := 0; n < 20 && !quarantined(); n++ {
		c := streamCall(fmt.Sprint("id-", n), tlstand.ResumablePath)
		c.Parts = []string{crashingPart, "e1"}
		_, _ = f.w.send(i, c)
		time.Sleep(crashInterval)
	}
	assert.True(t, quarantined())
}

// A request that waits for room is refused as soon as a part of it is in quarantine.
func TestQueuedRequestWaitsOnThoughItsPartIsInQuarantine(t *testing.T) {
	f := newCrashFleet(t, 2, 1, 0)
	for _, e := range f.engines {
		e.EventInterval = 900 * time.Millisecond
	}
	large := func(id string, parts ...string) tlstand.Call {
		c := streamCall(id, tlstand.StreamPath)
		c.PromptTokens, c.Deadline, c.Parts = 40_000, 6*time.Second, parts
		return c
	}
	first := make(chan answer, 1)
	go func() {
		a, _ := f.w.send(f.all[0], large("first", "5a", "e1"))
		first <- a
	}()
	f.w.eventually(func() bool { return f.arrivals("5a") >= 2 })
	queued := make(chan answer, 1)
	go func() {
		a, _ := f.w.send(f.all[1], large("queued", sharedPart, "e2"))
		queued <- a
	}()
	time.Sleep(300 * time.Millisecond)
	require.Empty(t, queued)
	f.putQuarantine(sharedPart, time.Now().Add(time.Minute))
	a := <-queued
	assert.Contains(t, a.body, "PartQuarantined")
	assert.Equal(t, "NotRun", a.header.Get("Trefoil-Verdict"))
	assert.Empty(t, first, "it did not wait for room")
	assert.Equal(t, threeEvents, (<-first).body)
}
