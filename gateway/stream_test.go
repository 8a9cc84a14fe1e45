package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlverdict"
	"trefoillanding/io/tlgateway"
	"trefoillanding/platform/tlstand"
)

const threeEvents = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\nid: 3\ndata: event 3\n\n"

// startEngines starts a prefill engine and two decode engines.
func (w *testCluster) startEngines() (p, d1, d2 *tlstand.Endpoint) {
	return w.startEngine("p", "prefill"), w.startEngine("d1", "decode"), w.startEngine("d2", "decode")
}

func TestPrefillAndDecodeRunOnSeparateEngines(t *testing.T) {
	w := newTestCluster(t)
	p, d1, d2 := w.startEngines()
	a := w.call(w.startInstance("a"), streamCall("id-1", tlstand.StreamPath))
	assert.Equal(t, http.StatusOK, a.status)
	assert.Equal(t, threeEvents, a.body)
	require.Len(t, p.Arrivals(), 1)
	assert.Equal(t, "prefill", p.Arrivals()[0].Stage)
	assert.Equal(t, 1, runs("id-1", d1, d2))
	for _, e := range []*tlstand.Endpoint{d1, d2} {
		for _, g := range e.Arrivals() {
			assert.Equal(t, p.Address().String()+"/p-1", g.Source)
			assert.Equal(t, "prompt", g.Body)
		}
	}
}

func TestDecodeEnginePrefillsWhenNoPrefillEngineCan(t *testing.T) {
	w := newTestCluster(t)
	p, d1, d2 := w.startEngines()
	p.Intercept = func(w http.ResponseWriter, _ *http.Request, _ *tlstand.Arrival) bool {
		tlstand.RespondNotRun(w)
		return true
	}
	a := w.call(w.startInstance("a"), streamCall("id-1", tlstand.StreamPath))
	assert.Equal(t, threeEvents, a.body)
	assert.Len(t, p.Arrivals(), 1, "a second prefill would count as an attempt")
	assert.Equal(t, 1, runs("id-1", d1, d2))
}

func TestShedRequestIsRetriedElsewhereWithoutSecondPrefill(t *testing.T) {
	w := newTestCluster(t)
	p, d1, d2 := w.startEngines()
	full := onFirstArrival(func(w http.ResponseWriter, _ *http.Request, _ *tlstand.Arrival) bool {
		tlstand.RespondNotRun(w)
		return true
	}, d1, d2)
	d1.Intercept, d2.Intercept = full, full
	a := w.call(w.startInstance("a"), streamCall("id-1", tlstand.StreamPath))
	assert.Equal(t, threeEvents, a.body)
	assert.Len(t, p.Arrivals(), 1)
	assert.Len(t, append(d1.Arrivals(), d2.Arrivals()...), 2)
}

// cutStreamAfter makes the decode engine that gets the first request break its
// stream off within the event after n.
func cutStreamAfter(n int, d1, d2 *tlstand.Endpoint) {
	cut := func(e *tlstand.Endpoint) func(http.ResponseWriter, *http.Request, *tlstand.Arrival) bool {
		return onFirstArrival(func(w http.ResponseWriter, r *http.Request, a *tlstand.Arrival) bool {
			e.MarkRan(a)
			e.Stream(w, r, a, n)
			fmt.Fprintf(w, "id: %d\ndata: ev", n+1)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}, d1, d2)
	}
	d1.Intercept, d2.Intercept = cut(d1), cut(d2)
}

func TestResumableStreamContinuesElsewhereWithoutGapOrRepeat(t *testing.T) {
	w := newTestCluster(t)
	_, d1, d2 := w.startEngines()
	cutStreamAfter(2, d1, d2)
	a := w.call(w.startInstance("a"), streamCall("id-1", tlstand.ResumablePath))
	assert.True(t, a.isComplete)
	assert.Equal(t, threeEvents, a.body)
	after := ""
	for _, g := range append(d1.Arrivals(), d2.Arrivals()...) {
		after += g.ResumeAfter
	}
	assert.Equal(t, "2", after)
}

func TestABrokenStreamThatRunsOnceDoesNotLookComplete(t *testing.T) {
	w := newTestCluster(t)
	_, d1, d2 := w.startEngines()
	cutStreamAfter(2, d1, d2)
	a := w.call(w.startInstance("a"), streamCall("id-1", tlstand.StreamPath))
	assert.False(t, a.isComplete)
	assert.Equal(t, 2, strings.Count(a.body, "\n\n"), "complete events only")
	assert.Equal(t, 1, runs("id-1", d1, d2))
}

func TestASilentEngineKeepsItsRequestsAndGetsNoOther(t *testing.T) {
	w := newTestCluster(t)
	w.startEngine("p", "prefill")
	silent := w.startEngine("d1", "decode")
	answers := make(chan struct{})
	holdUntil(answers, silent)
	i := w.startInstance("a")
	answered := make(chan answer, 5)
	ask := func(n int) {
		c := streamCall(fmt.Sprint("id-", n), tlstand.StreamPath)
		c.Deadline = testTimeout
		answered <- w.call(i, c)
	}
	go ask(0)
	go ask(1)
	w.eventually(func() bool { return i.counters.gateway.Value(tlgateway.EngineSilent) == 2 })
	other := w.startEngine("d2", "decode")
	other.EventInterval = 200 * time.Millisecond
	w.eventually(func() bool { return len(i.directory.Endpoints(tlstand.ModelService)) == 3 })
	for n := range 3 {
		go ask(n + 2)
	}
	w.eventually(func() bool { return len(other.Arrivals()) == 3 })
	assert.Len(t, silent.Arrivals(), 2)
	close(answers)
	for range 5 {
		assert.Equal(t, threeEvents, (<-answered).body)
	}
}

func TestStallWithinStreamIsCountedOnce(t *testing.T) {
	w := newTestCluster(t)
	_, d1, d2 := w.startEngines()
	d1.EventInterval, d2.EventInterval = 300*time.Millisecond, 300*time.Millisecond
	i := w.startInstance("a")
	assert.Equal(t, threeEvents, w.call(i, streamCall("id-1", tlstand.StreamPath)).body)
	assert.EqualValues(t, 1, i.counters.gateway.Value(tlgateway.Stalled))
}

// Guards against an engine that answers with failures and still gets as many
// requests as any other.
func TestEngineFailureIsForwardedAndNextRequestAvoidsTheEngine(t *testing.T) {
	w := newTestCluster(t)
	_, d1, d2 := w.startEngines()
	fails := onFirstArrival(func(w http.ResponseWriter, _ *http.Request, _ *tlstand.Arrival) bool {
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}, d1, d2)
	d1.Intercept, d2.Intercept = fails, fails
	i := w.startInstance("a")
	assert.Equal(t, http.StatusInternalServerError, w.call(i, streamCall("id-1", tlstand.StreamPath)).status)
	assert.Equal(t, threeEvents, w.call(i, streamCall("id-2", tlstand.StreamPath)).body)
	assert.Len(t, d1.Arrivals(), 1)
	assert.Len(t, d2.Arrivals(), 1)
}

// callAndLeave sends a call whose caller leaves once wait returns, before there is an answer.
func (w *testCluster) callAndLeave(i *Instance, c tlstand.Call, wait func()) {
	w.t.Helper()
	q, err := c.Request(i.settings.Listen)
	require.NoError(w.t, err)
	q.Host = tlstand.Host
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		wait()
		leave()
	}()
	_, err = w.client.Do(q.WithContext(ctx)) //nolint:bodyclose // there is no answer
	require.ErrorIs(w.t, err, context.Canceled)
}

func TestCallerDisconnectCancelsWorkAtTheEngine(t *testing.T) {
	w := newTestCluster(t)
	w.startEngine("p", "prefill")
	d := w.startEngine("d1", "decode")
	ended := make(chan struct{})
	d.Intercept = func(_ http.ResponseWriter, r *http.Request, a *tlstand.Arrival) bool {
		d.MarkRan(a)
		<-r.Context().Done()
		close(ended)
		return true
	}
	i := w.startInstance("a")
	w.callAndLeave(i, streamCall("id-1", tlstand.StreamPath), func() {
		for runs("id-1", d) == 0 {
			time.Sleep(time.Millisecond)
		}
	})
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the engine still works on the request")
	}
}

// A caller who leaves while its prompt is read says nothing about the engine, which
// goes on getting prompts.
func TestCallerWhoLeavesDuringPrefillLeavesTheEngineInUse(t *testing.T) {
	w := newTestCluster(t)
	p, _, _ := w.startEngines()
	reading := make(chan struct{})
	p.Intercept = onFirstArrival(func(_ http.ResponseWriter, r *http.Request, _ *tlstand.Arrival) bool {
		close(reading)
		<-r.Context().Done()
		return true
	}, p)
	i := w.startInstance("a")
	w.callAndLeave(i, streamCall("id-1", tlstand.StreamPath), func() { <-reading })
	w.eventually(func() bool { return i.counters.gateway.Value(string(tlverdict.CallerGone)) > 0 })
	a := w.call(i, streamCall("id-2", tlstand.StreamPath))
	assert.Equal(t, threeEvents, a.body)
	assert.Len(t, p.Arrivals(), 2, "the prompt of the second request is read there")
}

// A failure that is sent as a closed connection tells its caller neither that nor whether the request ran.
func TestEngineThatBreaksBeforeItsFirstEventLeavesNoCallerWithoutAnAnswer(t *testing.T) {
	w := newTestCluster(t)
	_, d1, d2 := w.startEngines()
	for _, e := range []*tlstand.Endpoint{d1, d2} {
		e.Intercept = func(w http.ResponseWriter, r *http.Request, a *tlstand.Arrival) bool {
			e.MarkRan(a)
			e.Stream(w, r, a, 0)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	i := w.startInstance("a")
	for _, path := range []string{tlstand.StreamPath, tlstand.ResumablePath} {
		c := streamCall("id"+path, path)
		c.Host, c.Deadline = tlstand.Host, testTimeout
		q, err := c.Request(i.settings.Listen)
		require.NoError(t, err)
		r, err := w.client.Do(q)
		require.NoError(t, err, "the connection was closed without an answer")
		require.NoError(t, r.Body.Close())
		assert.Equal(t, http.StatusBadGateway, r.StatusCode)
		assert.Empty(t, tlstand.Seal(r), "no engine answered with this status")
	}
}
