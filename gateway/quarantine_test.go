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

	"trefoillanding/core/tlcodec"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlbooking"
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

func TestAPartThatCrashesEnginesIsForgottenWhenTheHomeChanges(t *testing.T) {
	f := newCrashFleet(t, 3, 6, 300*time.Millisecond)
	f.crash(crashingSecond)
	home := f.all[0].gossip.Oldest(tlstand.ModelService, homeCandidates)
	var rest []*Instance
	for _, i := range f.all {
		if i.settings.Name == home {
			i.Close()
			continue
		}
		rest = append(rest, i)
	}
	f.all = rest
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
	assert.Zero(t, f.all[0].counters.reservations.Value(tlbooking.Quarantined))
}

// putQuarantine writes a record to the store as another instance would, and waits until all have read it.
func (f *crashFleet) putQuarantine(part string, until time.Time) {
	e := tlwire.Quarantine{Service: tlstand.ModelService, Part: part, Until: until}
	value, err := tlcodec.Encode(e)
	require.NoError(f.w.t, err)
	f.w.store.Put(platform.TopicQuarantine, quarantineKey(e.Service, part), value)
	for _, i := range f.all {
		f.w.eventually(func() bool { return len(i.quarantines.all()) == 1 })
	}
}

// refuses reports whether all instances refuse a request with a part.
func (f *crashFleet) refuses(part string) bool {
	for range f.all {
		if f.call(part, "ab12").header.Get("Trefoil-Verdict") != "NotRun" {
			return false
		}
	}
	return true
}

// lacksQuarantine reports whether the store has no quarantine any more.
func (f *crashFleet) lacksQuarantine() bool {
	b, err := f.all[0].store.Newest(f.all[0].ctx, platform.TopicQuarantine)
	return err == nil && len(b.Records) == 0
}

func TestQuarantineOutlastsItsTimeInTheStore(t *testing.T) {
	f := newCrashFleet(t, 3, 2, 0)
	until := time.Now().Add(2 * time.Second)
	f.putQuarantine(sharedPart, until)
	assert.True(t, f.refuses(sharedPart))
	assert.True(t, time.Now().Before(until))
	f.w.eventually(f.lacksQuarantine)
	assert.True(t, time.Now().After(until))
	for range f.all {
		assert.Equal(t, threeEvents, f.call(sharedPart, "ab12").body)
	}
}

func TestQuarantineStaysThoughAnAnswerHasBegun(t *testing.T) {
	f := newCrashFleet(t, 3, 2, 0)
	for _, e := range f.engines {
		e.EventInterval = 500 * time.Millisecond
	}
	inFlight := make(chan answer, 1)
	go func() { inFlight <- f.call(sharedPart, "ab12") }()
	f.w.eventually(func() bool { return f.arrivals(sharedPart) >= 2 })
	f.putQuarantine(sharedPart, time.Now().Add(time.Minute))
	assert.True(t, f.refuses(sharedPart))
	assert.Equal(t, threeEvents, (<-inFlight).body)
	f.w.eventually(f.lacksQuarantine)
	f.w.eventually(func() bool { return f.call(sharedPart, "ab12").body == threeEvents })
}

func TestQuarantineIsLostWhenTheStoreGoesBack(t *testing.T) {
	f := newCrashFleet(t, 3, 2, 0)
	early := f.w.store.Copy()
	f.putQuarantine(sharedPart, time.Now().Add(time.Minute))
	f.w.store.GoBack(early)
	f.w.waitForEra(2, f.all...)
	f.w.eventually(func() bool { return !f.lacksQuarantine() })
	f.all = append(f.all, f.w.startInstance("late"))
	f.w.eventually(func() bool { return len(f.all[3].quarantines.all()) == 1 })
	assert.True(t, f.refuses(sharedPart))
}

func TestUnreadableQuarantinesAreNotIgnored(t *testing.T) {
	f := newCrashFleet(t, 1, 2, 0)
	f.w.store.Put(platform.TopicQuarantine, "bad", []byte("{"))
	value, err := tlcodec.Encode(tlwire.Quarantine{Service: tlstand.ModelService, Part: sharedPart, Until: time.Now().Add(time.Minute)})
	require.NoError(t, err)
	f.w.store.Put(platform.TopicQuarantine, "another/key", value)
	f.w.eventually(func() bool { return f.all[0].counters.store.Value(badEntry) == 2 })
	assert.Equal(t, threeEvents, f.call(sharedPart, "ab12").body)
}

// A decision must reach the store though the store is away when it is made.
func TestQuarantineIsNotWrittenWhileTheStoreIsAway(t *testing.T) {
	f := newCrashFleet(t, 3, 6, 300*time.Millisecond)
	f.w.store.SetIntercept(func(rw http.ResponseWriter, r *http.Request) bool {
		if !tlstand.IsForTopic(r, platform.TopicQuarantine) {
			return false
		}
		rw.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	f.crash(crashingSecond)
	assert.Zero(t, f.w.store.Records(platform.TopicQuarantine))
	f.w.store.SetIntercept(nil)
	f.w.eventually(func() bool { return f.w.store.Records(platform.TopicQuarantine) > 0 })
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
	for n := range 6 {
		e := f.w.startEngine(fmt.Sprint("e", n), "decode")
		e.Intercept = func(w http.ResponseWriter, r *http.Request, a *tlstand.Arrival) bool {
			mu.Lock()
			seen[a.ID]++
			isFirst := seen[a.ID] == 1
			mu.Unlock()
			if isFirst {
				e.Stream(w, r, a, 1)
			}
			panic(http.ErrAbortHandler)
		}
	}
	i := f.all[0]
	f.w.eventually(func() bool { return len(i.directory.Endpoints(tlstand.ModelService)) == 8 })
	quarantined := func() bool { return i.counters.reservations.Value(tlbooking.Quarantined) > 0 }
	for n := 0; n < 20 && !quarantined(); n++ {
		c := streamCall(fmt.Sprint("id-", n), tlstand.ResumablePath)
		c.Parts = []string{crashingPart, "e1"}
		_, _ = f.w.send(i, c)
		time.Sleep(crashInterval)
	}
	assert.True(t, quarantined())
}
