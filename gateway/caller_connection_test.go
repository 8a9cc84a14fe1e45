package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlverdict"
	"trefoillanding/platform"
	"trefoillanding/platform/tlstand"
)

// callerConnection is a connection of a caller that is kept between requests.
type callerConnection struct {
	i *Instance
	c net.Conn
	r *bufio.Reader
}

func dialAsCaller(t *testing.T, i *Instance) *callerConnection {
	t.Helper()
	c, err := net.Dial("tcp", i.settings.Listen.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &callerConnection{i, c, bufio.NewReader(c)}
}

// begin sends a call and reads the head of its answer.
func (k *callerConnection) begin(c tlstand.Call) (*http.Response, error) {
	c.Host = tlstand.Host
	q, err := c.Request(k.i.settings.Listen)
	if err != nil {
		return nil, err
	}
	if err := k.c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		return nil, err
	}
	if err := q.Write(k.c); err != nil {
		return nil, err
	}
	return http.ReadResponse(k.r, q)
}

// ask sends a call and reads its whole answer.
func (k *callerConnection) ask(c tlstand.Call) (status int, err error) {
	r, err := k.begin(c)
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err
}

// putLimits puts a configuration in force that sets other limits than the one before.
func (w *testCluster) putLimits(i *Instance, version uint64, idle time.Duration, headerBytes int) {
	w.t.Helper()
	c := tlstand.Config(version)
	c.Limits.IdleMs, c.Limits.HeaderBytes = float64(idle.Milliseconds()), headerBytes
	w.store.PutJSON(platform.TopicConfig, platform.KeyConfig, c)
	if i != nil {
		w.eventually(func() bool { return i.version() == version })
	}
}

const (
	shortIdle  = 300 * time.Millisecond
	longIdle   = 15 * time.Second
	fewBytes   = 16 << 10
	moreBytes  = 64 << 10
	idlePeriod = 900 * time.Millisecond
)

// Guards against connections that are closed by the idle limit of the first configuration, while callers go by the last.
func TestIdleLimitRaisedByALaterConfigurationHolds(t *testing.T) {
	cases := []struct {
		name string
		// isOpenBefore says that the connection has a request under way when the configuration changes.
		isOpenBefore bool
	}{
		{"1 a connection opened after", false},
		{"2 a connection opened before", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestCluster(t)
			e := w.startPlainEndpoint("e1")
			release := make(chan struct{})
			holdUntil(release, e)
			w.putLimits(nil, 2, shortIdle, fewBytes)
			i := w.startInstance("a")
			require.EqualValues(t, 2, i.version())
			k := dialAsCaller(t, i)
			first := make(chan error, 1)
			ask := func() {
				_, err := k.ask(onceCall("id-1"))
				first <- err
			}
			if c.isOpenBefore {
				go ask()
				w.eventually(func() bool { return len(e.Arrivals()) == 1 })
			}
			w.putLimits(i, 3, longIdle, fewBytes)
			close(release)
			if !c.isOpenBefore {
				ask()
			}
			require.NoError(t, <-first)
			time.Sleep(idlePeriod)
			status, err := k.ask(onceCall("id-2"))
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
		})
	}
}

// Guards against headers that are refused by the limit of the first configuration, while callers go by the last.
func TestHeaderLimitRaisedByALaterConfigurationHolds(t *testing.T) {
	w := newTestCluster(t)
	w.startPlainEndpoint("e1")
	w.putLimits(nil, 2, longIdle, fewBytes)
	i := w.startInstance("a")
	w.putLimits(i, 3, longIdle, moreBytes)
	c := onceCall("id-1")
	c.Header = http.Header{"X-Filler": {strings.Repeat("x", 2*fewBytes)}}
	status, err := dialAsCaller(t, i).ask(c)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status)
}

// Guards against headers that a kept connection takes by the limit in force when it was opened.
func TestHeaderLimitHoldsOnAKeptConnection(t *testing.T) {
	cases := []struct {
		name          string
		before, after int
		status        int
	}{
		{"1 raised", fewBytes, moreBytes, http.StatusOK},
		{"2 lowered", moreBytes, fewBytes, http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestCluster(t)
			w.startPlainEndpoint("e1")
			w.putLimits(nil, 2, longIdle, c.before)
			i := w.startInstance("a")
			k := dialAsCaller(t, i)
			status, err := k.ask(onceCall("id-1"))
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			w.putLimits(i, 3, longIdle, c.after)
			q := onceCall("id-2")
			q.Header = http.Header{"X-Filler": {strings.Repeat("x", 2*fewBytes)}}
			status, err = k.ask(q)
			require.NoError(t, err)
			assert.Equal(t, c.status, status)
			if c.status == http.StatusOK {
				return
			}
			_, err = k.r.ReadByte()
			assert.ErrorIs(t, err, io.EOF)
		})
	}
}

// Guards against a body that counts as part of the header before it.
func TestBodyBeyondTheHeaderLimitIsTaken(t *testing.T) {
	w := newTestCluster(t)
	w.startPlainEndpoint("e1")
	w.putLimits(nil, 2, longIdle, fewBytes)
	k := dialAsCaller(t, w.startInstance("a"))
	for n := range 2 {
		c := onceCall(fmt.Sprint("id-", n))
		c.Body = strings.Repeat("x", 3*fewBytes)
		status, err := k.ask(c)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, status)
	}
}

// Guards against a panic of the handler that closes the caller's connection without a word, in no log and no counter.
func TestHandlerPanicIsLoggedCountedAndAnswered(t *testing.T) {
	cases := []struct {
		name string
		call tlstand.Call
		// isAnswered says that nothing of the answer had been sent.
		isAnswered bool
	}{
		{"1 a plain request", onceCall("id-1"), true},
		{"2 a stream", streamCall("id-1", tlstand.StreamPath), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestCluster(t)
			w.startPlainEndpoint("e1")
			w.startEngine("d1", "decode")
			l, logged := test.NewNullLogger()
			i := w.newInstance(w.settings("a"), l)
			// Without its histograms an instance panics once an endpoint has answered.
			i.counters.latencies = nil
			w.run(i)
			status, whole := w.tryCall(i, c.call)
			if c.isAnswered {
				assert.Equal(t, http.StatusBadGateway, status)
			}
			assert.False(t, whole && status == http.StatusOK)
			assert.EqualValues(t, 1, i.counters.gateway.Value(string(tlverdict.Internal)))
			errorLines := 0
			for _, e := range logged.AllEntries() {
				if e.Level <= logrus.ErrorLevel {
					errorLines++
				}
			}
			assert.Equal(t, 1, errorLines)
			assert.Zero(t, i.open())
		})
	}
}

// Guards against a stream that is cut, and an engine that is doubted, since the caller reads late.
func TestStreamOfACallerWhoReadsLateGoesOn(t *testing.T) {
	const events, event = 64, "id: %04d\ndata: %s\n\n"
	piece := strings.Repeat(block, 4)
	cases := []struct{ name, path string }{
		{"1 runs once", tlstand.StreamPath},
		{"2 may be resumed", tlstand.ResumablePath},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestCluster(t)
			// Beside load the reading alone may take longer than the usual timeout of the route.
			config := tlstand.Config(2)
			for n := range config.Routes {
				config.Routes[n].TimeoutMs = float64(testTimeout.Milliseconds())
			}
			w.store.PutJSON(platform.TopicConfig, platform.KeyConfig, config)
			w.startReadingEndpoint("d1", tlstand.ModelService, "decode", func(c net.Conn) {
				_, err := io.WriteString(c, streamHead)
				for n := 0; n < events && err == nil; n++ {
					_, err = fmt.Fprintf(c, event, n, piece)
				}
			})
			i := w.startInstance("a")
			k := dialAsCaller(t, i)
			q := streamCall("id-1", c.path)
			q.Deadline = testTimeout
			r, err := k.begin(q)
			require.NoError(t, err)
			defer r.Body.Close()
			time.Sleep(2500 * time.Millisecond)
			n, err := io.Copy(io.Discard, r.Body)
			require.NoError(t, err)
			assert.EqualValues(t, events*len(fmt.Sprintf(event, 0, piece)), n)
			assert.Empty(t, i.directory.Failing())
		})
	}
}

// Guards against a request that is refused since a prefill engine is silent, though its decode engine could read the prompt.
func TestSilenceOfAPrefillEngineIsNoReasonToRefuse(t *testing.T) {
	cases := []struct {
		name    string
		silence time.Duration
	}{
		{"1 answers at once", 0},
		{"2 is silent for a second", 1200 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestCluster(t)
			p, d := w.startEngine("p", "prefill"), w.startEngine("d1", "decode")
			p.Intercept = func(http.ResponseWriter, *http.Request, *tlstand.Arrival) bool {
				time.Sleep(c.silence)
				return false
			}
			w.withoutRetries = true
			i := w.startInstance("a")
			w.eventually(func() bool { return len(i.directory.Endpoints(tlstand.ModelService)) == 2 })
			a := w.call(i, streamCall("id-1", tlstand.StreamPath))
			assert.Equal(t, http.StatusOK, a.status, a.body)
			assert.Equal(t, threeEvents, a.body)
			assert.Len(t, p.Arrivals(), 1, "a second prefill would count as an attempt")
			assert.Equal(t, 1, runs("id-1", d))
		})
	}
}
