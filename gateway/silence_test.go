package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/io/tlgateway"
	"trefoillanding/platform"
	"trefoillanding/platform/tlstand"
)

const (
	// silence is above the time after which an instance seeks another engine for a stream.
	silence = 1800 * time.Millisecond
	// endless is a silence that outlasts the caller.
	endless = time.Minute
)

// silentEngine makes the decode engine that gets the first request fall silent after n
// events, or before its header if n is negative, and go on after a time.
func silentEngine(n int, d time.Duration, engines ...*tlstand.Endpoint) {
	for _, e := range engines {
		e.Intercept = onFirstArrival(func(w http.ResponseWriter, r *http.Request, a *tlstand.Arrival) bool {
			e.MarkRan(a)
			if n >= 0 {
				e.Stream(w, r, a, n)
				_ = http.NewResponseController(w).Flush()
			}
			select {
			case <-time.After(d):
			case <-r.Context().Done():
				return true
			}
			rest := *a
			rest.ResumeAfter = fmt.Sprint(max(n, 0))
			e.Stream(w, r, &rest, e.Events)
			return true
		}, engines...)
	}
}

// patientCall is a resumable call whose caller waits for longer than any silence here.
func patientCall(id string) tlstand.Call {
	c := resumableCall(id)
	c.Deadline = testTimeout
	return c
}

// lengthenTimeouts gives all routes more time than any test takes.
func (w *testCluster) lengthenTimeouts() {
	c := tlstand.Config(2)
	for n := range c.Routes {
		c.Routes[n].TimeoutMs = float64(2 * testTimeout.Milliseconds())
	}
	w.store.PutJSON(platform.TopicConfig, platform.KeyConfig, c)
}

func TestSilenceEndsNoStreamThatNoOtherEngineCanTake(t *testing.T) {
	cases := []struct {
		name           string
		withoutRetries bool
		// engines is the number of decode engines; with one there is no other.
		engines int
		// events is the number of events before the silence; -1 is a silence before the header.
		events int
		// withoutLength leaves out the prompt's length, so that no place is reserved.
		withoutLength bool
	}{
		{"1 the retry budget is spent, amid the events", true, 2, 1, false},
		{"2 the retry budget is spent, before the first event", true, 2, 0, false},
		{"3 the retry budget is spent, before the header", true, 2, -1, false},
		{"4 there is no other engine, amid the events", false, 1, 1, false},
		{"5 there is no other engine, before the header", false, 1, -1, false},
		{"6 there is no other engine for a prompt of unknown length, amid the events", false, 1, 1, true},
		{"7 there is no other engine for a prompt of unknown length, before the header", false, 1, -1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t)
			w.withoutRetries = c.withoutRetries
			if !c.withoutLength {
				w.startEngine("p", "prefill")
			}
			var engines []*tlstand.Endpoint
			for n := range c.engines {
				engines = append(engines, w.startEngine(fmt.Sprint("d", n), "decode"))
			}
			silentEngine(c.events, silence, engines...)
			q := patientCall("id-1")
			if c.withoutLength {
				q.PromptTokens = 0
			}
			a := w.call(w.startInstance("a"), q)
			assert.Equal(t, http.StatusOK, a.status)
			assert.Equal(t, threeEvents, a.body)
			assert.True(t, a.isComplete)
			assert.Equal(t, 1, runs("id-1", engines...))
		})
	}
}

func TestSilentStreamMovesToAnotherEngine(t *testing.T) {
	for _, events := range []int{-1, 0, 1} {
		t.Run(fmt.Sprintf("after %d events", events), func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t)
			_, d1, d2 := w.startEngines()
			silentEngine(events, endless, d1, d2)
			a := w.call(w.startInstance("a"), patientCall("id-1"))
			assert.Equal(t, threeEvents, a.body)
			assert.True(t, a.isComplete)
			assert.Equal(t, 2, runs("id-1", d1, d2))
		})
	}
}

func TestStreamThatSpeaksAgainIsNotMoved(t *testing.T) {
	w := newTestCluster(t)
	p, d1, d2 := w.startEngines()
	silentEngine(1, silence, d1, d2)
	p.Intercept = func(_ http.ResponseWriter, r *http.Request, _ *tlstand.Arrival) bool {
		if len(p.Arrivals()) > 1 {
			// The second prompt is read until after the silence.
			select {
			case <-time.After(silence):
			case <-r.Context().Done():
			}
		}
		return false
	}
	a := w.call(w.startInstance("a"), patientCall("id-1"))
	assert.Equal(t, threeEvents, a.body)
	assert.Equal(t, 1, runs("id-1", d1, d2))
}

func TestCallerThatReadsLateDoesNotMoveItsStream(t *testing.T) {
	w := newTestCluster(t)
	_, d1, d2 := w.startEngines()
	const events = 400
	data := strings.Repeat("x", 64<<10)
	for _, e := range []*tlstand.Endpoint{d1, d2} {
		e.Intercept = func(w http.ResponseWriter, _ *http.Request, a *tlstand.Arrival) bool {
			e.MarkRan(a)
			tlstand.SetSeal(w.Header())
			for n := range events {
				fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, data)
			}
			return true
		}
	}
	w.lengthenTimeouts()
	i := w.startInstance("a")
	c := patientCall("id-1")
	c.Host = tlstand.Host
	q, err := c.Request(i.settings.Listen)
	require.NoError(t, err)
	r, err := w.client.Do(q)
	require.NoError(t, err)
	defer r.Body.Close()
	time.Sleep(silence)
	b, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	assert.Equal(t, events, bytes.Count(b, []byte("\n\n")))
	assert.Equal(t, 1, runs("id-1", d1, d2))
}

// An engine that is late with each event must not cost a search, and a prefill, each time.
func TestSlowStreamIsSearchedAnotherEngineForOnce(t *testing.T) {
	w := newTestCluster(t)
	var readers []*tlstand.Endpoint
	arrivals := func() int {
		n := 0
		for _, p := range readers {
			n += len(p.Arrivals())
		}
		return n
	}
	for n := range 3 {
		p := w.startEngine(fmt.Sprint("p", n), "prefill")
		p.Intercept = func(_ http.ResponseWriter, r *http.Request, _ *tlstand.Arrival) bool {
			if arrivals() > 1 {
				select {
				case <-time.After(400 * time.Millisecond):
				case <-r.Context().Done():
				}
			}
			return false
		}
		readers = append(readers, p)
	}
	d1, d2 := w.startEngine("d1", "decode"), w.startEngine("d2", "decode")
	d1.EventInterval, d2.EventInterval = 1700*time.Millisecond, 1700*time.Millisecond
	d1.Events, d2.Events = 4, 4
	w.lengthenTimeouts()
	i := w.startInstance("a")
	a := w.call(i, patientCall("id-1"))
	assert.True(t, a.isComplete)
	assert.Equal(t, 4, strings.Count(a.body, "\n\n"))
	assert.Equal(t, 1, runs("id-1", d1, d2))
	assert.LessOrEqual(t, arrivals(), 2, "prefills")
	assert.Zero(t, i.counters.gateway.Value(tlgateway.EngineSilent), "it went on each time")
}

func TestSilentEngineIsReportedWhileItsStreamWaitsForAnother(t *testing.T) {
	w := newTestCluster(t)
	w.startEngine("p", "prefill")
	d := w.startEngine("d1", "decode")
	silentEngine(-1, 3*time.Second, d)
	i := w.startInstance("a")
	began := time.Now()
	answered := make(chan answer, 1)
	go func() { answered <- w.call(i, patientCall("id-1")) }()
	w.eventually(func() bool { return i.counters.gateway.Value(tlgateway.EngineSilent) == 1 })
	assert.Less(t, time.Since(began), silence)
	assert.Equal(t, threeEvents, (<-answered).body)
}
