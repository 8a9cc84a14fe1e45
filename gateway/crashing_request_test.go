package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/io/tlguard"
	"trefoillanding/platform"
	"trefoillanding/platform/tlstand"
)

const (
	// crashingText is in the path or the body of a request on which endpoints end.
	crashingText = "crashing"
	// restartDelay is how long after its end an endpoint is back.
	restartDelay = 300 * time.Millisecond
	// crashesAllowed is the number of crashes after which a request must be held off.
	crashesAllowed = 3
	// repetitionInterval is the time between two repetitions of a request.
	repetitionInterval = 100 * time.Millisecond
)

// crashingEndpoints is instances with endpoints that end under some requests and come
// back under new IDs.
type crashingEndpoints struct {
	w        *testCluster
	service  string
	isDue    func(*tlstand.Arrival) bool
	all      []*Instance
	restarts sync.WaitGroup

	mu        sync.Mutex
	endpoints []*tlstand.Endpoint
	crashes   int
	sent      int
}

func newCrashingEndpoints(t *testing.T, n int, phase string, isDue func(*tlstand.Arrival) bool) *crashingEndpoints {
	f := &crashingEndpoints{w: newTestCluster(t), service: tlstand.PlainService, isDue: isDue}
	if phase != "" {
		f.service = tlstand.ModelService
	}
	t.Cleanup(f.restarts.Wait)
	for k := range n {
		f.start(fmt.Sprint("e", k), phase)
	}
	f.all = f.w.startFleet(3)
	return f
}

func (f *crashingEndpoints) start(id, phase string) {
	e := tlstand.NewEndpoint(id, phase)
	e.Crash = &tlstand.Crash{IsDue: f.isDue, After: 20 * time.Millisecond, Ended: func() {
		f.mu.Lock()
		f.crashes++
		f.mu.Unlock()
		f.restarts.Go(func() {
			time.Sleep(restartDelay)
			f.w.store.Put(platform.TopicEndpoints, id, nil)
			f.start(id+"r", phase)
		})
	}}
	f.w.t.Cleanup(e.Close)
	f.mu.Lock()
	f.endpoints = append(f.endpoints, e)
	f.mu.Unlock()
	f.w.store.PutJSON(platform.TopicEndpoints, id, e.Entry(f.service, "ready"))
}

func (f *crashingEndpoints) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes
}

// arrivals counts the requests that reached endpoints and meet a condition.
func (f *crashingEndpoints) arrivals(is func(*tlstand.Arrival) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.endpoints {
		for _, a := range e.Arrivals() {
			if is(&a) {
				n++
			}
		}
	}
	return n
}

// send sends a call under an ID of its own, each time at another instance.
func (f *crashingEndpoints) send(c tlstand.Call) answer {
	f.mu.Lock()
	n := f.sent
	f.sent++
	f.mu.Unlock()
	c.ID = fmt.Sprint("call-", n)
	a, _ := f.w.send(f.all[n%len(f.all)], c)
	return a
}

// crash repeats a call until it has crashed enough endpoints, or is held off.
func (f *crashingEndpoints) crash(call func(n int) tlstand.Call) {
	for n := 0; n < 10*crashesAllowed && f.crashCount() < crashesAllowed; n++ {
		f.send(call(n))
		time.Sleep(repetitionInterval)
	}
	require.GreaterOrEqual(f.w.t, f.crashCount(), crashesAllowed)
	time.Sleep(time.Second)
}

// isHeldOff reports whether an answer is a refusal of a request that is known to crash endpoints.
func isHeldOff(a answer) bool {
	return a.status == http.StatusServiceUnavailable && a.header.Get("Trefoil-Verdict") == "NotRun" && a.header.Get("Retry-After") != "" &&
		strings.Contains(a.body, "PartQuarantined")
}

// assertHeldOff repeats a call and asserts that it is refused at once, but for a few trials.
func (f *crashingEndpoints) assertHeldOff(call func(n int) tlstand.Call) {
	f.w.t.Helper()
	before, heldOff, sent := f.arrivals(f.isDue), 0, 0
	for began := time.Now(); time.Since(began) < 8*time.Second; time.Sleep(repetitionInterval) {
		asked := time.Now()
		if isHeldOff(f.send(call(1000+sent))) && time.Since(asked) < 300*time.Millisecond {
			heldOff++
		}
		sent++
	}
	assert.LessOrEqual(f.w.t, f.arrivals(f.isDue)-before, maxSentAfter, "of %d repetitions that reached endpoints", sent)
	assert.GreaterOrEqual(f.w.t, heldOff, sent-maxSentAfter, "of %d that were refused at once, as not run", sent)
}

func isCrashingText(a *tlstand.Arrival) bool {
	return strings.Contains(a.RequestURI, crashingText) || strings.Contains(a.Body, crashingText)
}

func crashingLookup(int) tlstand.Call {
	return tlstand.Call{Method: http.MethodGet, Path: tlstand.IdempotentPath + crashingText}
}

func TestRequestThatCrashesEndpointsGoesOnReachingThem(t *testing.T) {
	cases := []struct {
		name  string
		phase string
		call  func(n int) tlstand.Call
	}{
		{"1 one that may be repeated", "", crashingLookup},
		{"2 one that runs at most once", "", func(int) tlstand.Call {
			return tlstand.Call{Method: http.MethodPost, Path: tlstand.AtMostOncePath + "x", Body: crashingText}
		}},
		{"3 one whose query changes", "", func(n int) tlstand.Call {
			return tlstand.Call{Method: http.MethodGet, Path: tlstand.IdempotentPath + crashingText + fmt.Sprint("?page=", n)}
		}},
		{"4 a stream without a prompt length", "decode", func(int) tlstand.Call {
			return tlstand.Call{Method: http.MethodPost, Path: tlstand.StreamPath + "x", Body: crashingText}
		}},
		{"5 a generation without shared parts", "decode", func(int) tlstand.Call {
			return tlstand.Call{Method: http.MethodPost, Path: tlstand.ResumablePath + "x", Body: crashingText, PromptTokens: 1000, OutputTokens: 100}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newCrashingEndpoints(t, 6, c.phase, isCrashingText)
			f.crash(c.call)
			f.assertHeldOff(c.call)
		})
	}
}

func TestRequestThatCrashedEndpointsIsForgottenWhenTheHomeIsLost(t *testing.T) {
	for _, before := range []int{1, crashesAllowed} {
		t.Run(fmt.Sprintf("after %d crashes", before), func(t *testing.T) {
			f := newCrashingEndpoints(t, 8, "", isCrashingText)
			for n := 0; n < 20 && f.crashCount() < before; n++ {
				f.send(crashingLookup(n))
				time.Sleep(repetitionInterval)
			}
			f.all = closeHome(f.all, f.service)
			f.crash(crashingLookup)
			f.assertHeldOff(crashingLookup)
		})
	}
}

func TestRequestThatCrashesEndpointsIsForgottenWhenAllInstancesRestart(t *testing.T) {
	f := newCrashingEndpoints(t, 6, "", isCrashingText)
	f.crash(crashingLookup)
	for _, i := range f.all {
		i.Close()
	}
	f.all = f.w.startFleet(len(f.all))
	f.assertHeldOff(crashingLookup)
}

// Sound requests are in flight at each endpoint that ends, and come again.
func TestSoundRequestsAreHeldOffBesideOneThatCrashesEndpoints(t *testing.T) {
	f := newCrashingEndpoints(t, 4, "", isCrashingText)
	var calls sync.WaitGroup
	var served, heldOff atomic.Int64
	const sent = 200
	for n := range sent {
		if n%5 == 0 && n < sent/2 {
			calls.Go(func() { f.send(crashingLookup(n)) })
		}
		calls.Go(func() {
			a := f.send(tlstand.Call{Method: http.MethodGet, Path: tlstand.IdempotentPath + fmt.Sprint("popular-", n%2)})
			if a.status == http.StatusOK {
				served.Add(1)
			}
			if isHeldOff(a) {
				heldOff.Add(1)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	calls.Wait()
	assert.GreaterOrEqual(t, served.Load(), int64(sent*8/10))
	assert.LessOrEqual(t, heldOff.Load(), int64(sent/20))
}

// A break of a connection is no crash where the endpoint goes on answering, nor is a silence.
func TestRequestIsHeldOffThoughItsEndpointsLiveOn(t *testing.T) {
	cases := []struct {
		name  string
		fails func(e *tlstand.Endpoint, r *http.Request)
	}{
		{"1 closed connections", func(*tlstand.Endpoint, *http.Request) { panic(http.ErrAbortHandler) }},
		{"2 all connections reset at once", func(e *tlstand.Endpoint, _ *http.Request) {
			e.ResetConnections()
			panic(http.ErrAbortHandler)
		}},
		{"3 silence", func(_ *tlstand.Endpoint, r *http.Request) { <-r.Context().Done() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newCrashingEndpoints(t, 6, "", func(*tlstand.Arrival) bool { return false })
			var isOver atomic.Bool
			for _, e := range f.endpoints {
				e.Intercept = func(_ http.ResponseWriter, r *http.Request, a *tlstand.Arrival) bool {
					if !isCrashingText(a) || isOver.Load() {
						return false
					}
					c.fails(e, r)
					return true
				}
			}
			for n := range 20 {
				q := crashingLookup(n)
				q.Deadline = 300 * time.Millisecond
				f.send(q)
				for range 2 * len(f.endpoints) {
					f.send(tlstand.Call{Method: http.MethodGet, Path: tlstand.IdempotentPath + "sound"})
				}
			}
			isOver.Store(true)
			for n := range 6 {
				assert.Equal(t, http.StatusOK, f.send(crashingLookup(n)).status)
			}
		})
	}
}

func TestRequestThatWasBlamedWronglyIsHeldOffForLong(t *testing.T) {
	var left atomic.Int64
	left.Store(crashesAllowed)
	f := newCrashingEndpoints(t, 6, "", func(a *tlstand.Arrival) bool { return isCrashingText(a) && left.Add(-1) >= 0 })
	pay := func(int) tlstand.Call {
		return tlstand.Call{Method: http.MethodPost, Path: tlstand.AtMostOncePath + "x", Body: crashingText}
	}
	f.crash(pay)
	require.True(t, isHeldOff(f.send(pay(0))))
	f.w.eventually(func() bool {
		time.Sleep(repetitionInterval)
		return f.send(pay(0)).status == http.StatusOK
	})
	time.Sleep(repetitionInterval)
	for n := range 6 {
		assert.Equal(t, http.StatusOK, f.send(pay(n)).status)
	}
}

// Each endpoint that a trial reaches is one more that it may crash.
func TestTrialOfAGenerationReachesAPrefillEngineToo(t *testing.T) {
	f := newCrashingEndpoints(t, 6, "decode", isCrashingText)
	p := f.w.startEngine("p", "prefill")
	f.w.eventually(func() bool { return len(f.all[0].directory.Endpoints(f.service)) == 7 })
	call := func(int) tlstand.Call {
		return tlstand.Call{Method: http.MethodPost, Path: tlstand.StreamPath + "x", Body: crashingText, PromptTokens: 1000, OutputTokens: 100}
	}
	f.crash(call)
	before, prompts := f.arrivals(f.isDue), len(p.Arrivals())
	require.NotZero(t, prompts)
	f.w.eventually(func() bool {
		time.Sleep(repetitionInterval)
		f.send(call(0))
		return f.arrivals(f.isDue) > before
	})
	assert.Len(t, p.Arrivals(), prompts)
}

// The engines end under the first part; the second is blamed, as nothing has been served with it before.
func TestSoundPromptsAreHeldOffByAPartThatWasBlamedWrongly(t *testing.T) {
	f := newCrashFleet(t, 3, 6, 300*time.Millisecond)
	for n := 0; n < 20 && f.crashCount() < crashesAllowed; n++ {
		f.call(crashingPart, sharedPart)
		time.Sleep(crashInterval)
	}
	require.GreaterOrEqual(t, f.crashCount(), crashesAllowed)
	served, sent := 0, 0
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(crashInterval) {
		if f.call(sharedPart).body == threeEvents {
			served++
		}
		sent++
	}
	assert.GreaterOrEqual(t, served, sent*8/10, "sound prompts served of %d", sent)
	before := f.arrivals(crashingPart)
	for range requestsAfter {
		f.call(crashingPart, sharedPart)
		time.Sleep(crashInterval / 2)
	}
	assert.LessOrEqual(t, f.arrivals(crashingPart)-before, maxSentAfter, "prompts that crash engines")
}

// An endpoint that leaves ends on purpose, and may cut off what it has.
func TestRequestIsHeldOffForEndpointsThatLeave(t *testing.T) {
	f := newCrashingEndpoints(t, 6, "", func(a *tlstand.Arrival) bool { return isCrashingText(a) })
	for _, e := range f.endpoints {
		e.Intercept = func(_ http.ResponseWriter, _ *http.Request, a *tlstand.Arrival) bool {
			if isCrashingText(a) {
				f.w.store.PutJSON(platform.TopicEndpoints, e.ID, e.Entry(f.service, "draining"))
				time.Sleep(100 * time.Millisecond)
			}
			return false
		}
	}
	for n := range crashesAllowed {
		f.send(tlstand.Call{Method: http.MethodPost, Path: tlstand.AtMostOncePath + "x", Body: crashingText})
		f.w.eventually(func() bool { return f.crashCount() == n+1 })
		time.Sleep(repetitionInterval)
	}
	for _, i := range f.all {
		assert.Zero(t, i.counters.guard.Value(tlguard.Quarantined))
	}
}
