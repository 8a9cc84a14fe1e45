package gateway

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlorigin"
	"trefoillanding/io/tlgateway"
	"trefoillanding/platform/tlform"
	"trefoillanding/platform/tlstand"
)

// unframedHead is the head of an answer with neither a length nor chunks.
const unframedHead = "HTTP/1.1 200 OK\r\n" + tlstand.SealHeaderLine + "Content-Type: text/plain\r\n\r\n"

// closing adds to a head that the connection ends with the answer.
func closing(head string) string {
	return strings.TrimSuffix(head, "\r\n") + "Connection: close\r\n\r\n"
}

// write returns a serve function that writes pieces with pauses between them, and closes.
func write(pause time.Duration, pieces ...string) func(net.Conn) {
	return func(c net.Conn) {
		for i, p := range pieces {
			if i > 0 {
				time.Sleep(pause)
			}
			_, _ = io.WriteString(c, p)
		}
	}
}

// reset makes the close of a connection a reset.
func reset(c net.Conn) {
	if e, ok := c.(echoConn); ok {
		c = e.Conn
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
}

var (
	smallBody = "an answer"
	limitBody = strings.Repeat("x", 256<<10)
	largeBody = strings.Repeat("large ", 100<<10)
	// firstEvent is the first of threeEvents.
	firstEvent = threeEvents[:strings.Index(threeEvents, "id: 2")]
)

func plainStreamCall(id string) tlstand.Call { return streamCall(id, tlstand.StreamPath) }

func resumableCall(id string) tlstand.Call { return streamCall(id, tlstand.ResumablePath) }

// startReadingEndpoint starts an endpoint that reads each whole request, so that its close is no reset, and calls serve.
func (w *testCluster) startReadingEndpoint(id, service, phase string, serve func(net.Conn)) {
	w.t.Helper()
	w.serveConnections(id, service, phase, func(c net.Conn) {
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err == nil {
			serve(echoConn{c, tlstand.AttemptID(q.Header)})
		}
	})
}

// echoConn adds to the raw head of an answer the ID of the attempt that it is for.
type echoConn struct {
	net.Conn
	id string
}

// Write writes to the connection.
func (c echoConn) Write(b []byte) (int, error) {
	head, rest, ok := bytes.Cut(b, []byte("\r\n"))
	if !ok || !bytes.HasPrefix(head, []byte("HTTP/")) {
		return c.Conn.Write(b)
	}
	if _, err := io.WriteString(c.Conn, string(head)+"\r\n"+tlstand.AttemptIDHeaderLine(c.id)+string(rest)); err != nil {
		return 0, err
	}
	return len(b), nil
}

// startOnlyEndpoint starts the only endpoint that a call can reach.
func (w *testCluster) startOnlyEndpoint(isStream bool, serve func(net.Conn)) {
	if isStream {
		w.startReadingEndpoint("e", tlstand.ModelService, "decode", serve)
		return
	}
	w.startReadingEndpoint("e", tlstand.PlainService, "", serve)
}

// Guards against an answer that is cut short or refused because only its connection's end ends it.
func TestAnswerThatEndsWithItsConnectionIsDeliveredWhole(t *testing.T) {
	const pause = 1200 * time.Millisecond
	cases := []struct {
		name     string
		call     func(string) tlstand.Call
		isStream bool
		serve    func(net.Conn)
		body     string
	}{
		{"1 idempotent", repeatableCall, false, write(0, unframedHead+smallBody), smallBody},
		{"2 idempotent, large", repeatableCall, false, write(0, unframedHead, largeBody), largeBody},
		{"3 idempotent, as large as is buffered", repeatableCall, false, write(0, unframedHead, limitBody), limitBody},
		{"4 at most once", onceCall, false, write(0, unframedHead+smallBody), smallBody},
		{"5 at most once, large", onceCall, false, write(0, unframedHead, largeBody), largeBody},
		{"6 at most once, empty", onceCall, false, write(0, unframedHead), ""},
		{"7 at most once, silent before and within", onceCall, false, write(pause, "", unframedHead+smallBody[:3], smallBody[3:]), smallBody},
		{"8 at most once, large, silent within", onceCall, false, write(pause, unframedHead+largeBody[:300<<10], largeBody[300<<10:]), largeBody},
		{"9 at most once, says that it closes", onceCall, false, write(0, closing(unframedHead), largeBody), largeBody},
		{"10 idempotent, says that it closes, with a length", repeatableCall, false, write(0, closing("HTTP/1.1 200 OK\r\n"+tlstand.SealHeaderLine+"Content-Length: 9\r\n\r\n"), smallBody), smallBody},
		{"11 a stream", plainStreamCall, true, write(10*time.Millisecond, streamHead, threeEvents[:30], threeEvents[30:]), threeEvents},
		{"12 a stream, says that it closes", plainStreamCall, true, write(0, closing(streamHead), threeEvents), threeEvents},
		{"13 a stream, silent within", plainStreamCall, true, write(pause, streamHead+threeEvents[:30], threeEvents[30:]), threeEvents},
		{"14 a resumable stream", resumableCall, true, write(10*time.Millisecond, streamHead, threeEvents[:30], threeEvents[30:]), threeEvents},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestCluster(t)
			w.startOnlyEndpoint(c.isStream, c.serve)
			i := w.startInstance("a")
			q := c.call("id-1")
			q.Deadline = testTimeout
			a := w.call(i, q)
			assert.Equal(t, http.StatusOK, a.status, a.body[:min(len(a.body), 200)])
			assert.True(t, a.isComplete)
			assert.Equal(t, len(c.body), len(a.body))
			assert.True(t, a.body == c.body, "the body is the endpoint's")
			assert.Equal(t, "s", a.seal)
			assert.Empty(t, a.header.Get("Connection"), "only the endpoint's connection ends")
			assert.Empty(t, i.directory.Failing())
		})
	}
}

// Guards against an answer that ends early and looks complete, since nothing but its connection's end ends it.
func TestAnswerThatIsResetOrEndsWithinAnEventDoesNotLookComplete(t *testing.T) {
	lengthHead := "HTTP/1.1 200 OK\r\n" + tlstand.SealHeaderLine + "Content-Length: 20\r\n\r\n"
	cut := func(serve func(net.Conn)) func(net.Conn) {
		return func(c net.Conn) {
			serve(c)
			time.Sleep(20 * time.Millisecond)
			reset(c)
		}
	}
	cases := []struct {
		name     string
		call     func(string) tlstand.Call
		isStream bool
		serve    func(net.Conn)
	}{
		{"1 idempotent, reset", repeatableCall, false, cut(write(0, unframedHead+smallBody))},
		{"2 idempotent, large, reset", repeatableCall, false, cut(write(0, unframedHead, largeBody))},
		{"3 at most once, reset", onceCall, false, cut(write(0, unframedHead+smallBody))},
		{"4 at most once, large, reset", onceCall, false, cut(write(0, unframedHead, largeBody))},
		{"5 at most once, reset after the head", onceCall, false, cut(write(0, unframedHead))},
		{"6 says that it closes, reset", onceCall, false, cut(write(0, closing(unframedHead), largeBody))},
		{"7 says that it closes, shorter than its length", onceCall, false, write(0, closing(lengthHead), smallBody)},
		{"8 a stream, ends within its first event", plainStreamCall, true, write(0, streamHead+threeEvents[:10])},
		{"9 a stream, ends within an event", plainStreamCall, true, write(0, streamHead+threeEvents[:30])},
		{"10 a stream, ends before the empty line of an event", plainStreamCall, true, write(0, streamHead+strings.TrimSuffix(threeEvents, "\n"))},
		{"11 a stream, reset within an event", plainStreamCall, true, cut(write(0, streamHead+threeEvents[:30]))},
		{"12 a stream, reset between events", plainStreamCall, true, cut(write(0, streamHead+firstEvent))},
		{"13 a stream, says that it closes, ends within an event", plainStreamCall, true, write(0, closing(streamHead)+threeEvents[:30])},
		{"14 a resumable stream, ends within an event, no other engine", resumableCall, true, write(0, streamHead+threeEvents[:30])},
		{"15 a resumable stream, reset between events, no other engine", resumableCall, true, cut(write(0, streamHead+firstEvent))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestCluster(t)
			w.startOnlyEndpoint(c.isStream, c.serve)
			i := w.startInstance("a")
			q := c.call("id-1")
			q.Deadline = time.Second
			status, whole := w.tryCall(i, q)
			assert.False(t, status == http.StatusOK && whole)
			assert.Contains(t, []int{0, http.StatusOK, http.StatusBadGateway, http.StatusGatewayTimeout}, status, "the request may have run")
		})
	}
}

// unframed makes the endpoint that gets the first request answer with raw bytes, and end or reset its connection.
func unframed(raw string, isReset bool, all ...*tlstand.Endpoint) {
	answer := onFirstArrival(func(w http.ResponseWriter, _ *http.Request, a *tlstand.Arrival) bool {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return false
		}
		defer c.Close()
		_, _ = io.WriteString(echoConn{c, a.ID}, raw)
		if isReset {
			time.Sleep(20 * time.Millisecond)
			reset(c)
		}
		return true
	}, all...)
	for _, e := range all {
		e.Intercept = answer
	}
}

// Guards against a broken answer without a length that is delivered though another endpoint could answer.
func TestRequestWhoseUnframedAnswerBreaksIsServedElsewhere(t *testing.T) {
	cases := []struct {
		name    string
		call    tlstand.Call
		raw     string
		isReset bool
	}{
		{"1 idempotent, reset", repeatableCall("id-1"), unframedHead + smallBody, true},
		{"2 a resumable stream, reset within an event", resumableCall("id-1"), streamHead + threeEvents[:30], true},
		{"3 a resumable stream, reset between events", resumableCall("id-1"), streamHead + firstEvent, true},
		{"4 a resumable stream, ends within an event", resumableCall("id-1"), streamHead + threeEvents[:30], false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestCluster(t)
			e1, e2 := w.startPlainEndpoint("e1"), w.startPlainEndpoint("e2")
			d1, d2 := w.startEngine("d1", "decode"), w.startEngine("d2", "decode")
			unframed(c.raw, c.isReset, e1, e2, d1, d2)
			a := w.call(w.startInstance("a"), c.call)
			assert.Equal(t, http.StatusOK, a.status, a.body)
			assert.True(t, a.isComplete)
			if c.call.Method == http.MethodGet {
				assert.Contains(t, []string{"answer of e1", "answer of e2"}, a.body)
				return
			}
			assert.Equal(t, threeEvents, a.body)
		})
	}
}

// Guards against a prompt that is read again because its prefill answer has no length, and against half of one in use.
func TestPrefillAnswerThatEndsWithItsConnection(t *testing.T) {
	whole, err := json.Marshal(tlform.Prefilled{KvHandle: "h-1", Tokens: 1000})
	require.NoError(t, err)
	text := string(whole)
	cases := []struct {
		name      string
		serve     func(net.Conn)
		isReadTwo bool
	}{
		{"1 whole", write(0, unframedHead+text), false},
		{"2 whole, in two parts", write(20*time.Millisecond, unframedHead+text[:5], text[5:]), false},
		{"3 whole, says that it closes", write(0, closing(unframedHead)+text), false},
		{"4 ends early", write(0, unframedHead+text[:len(text)-1]), true},
		{"5 reset", func(c net.Conn) { write(0, unframedHead+text)(c); time.Sleep(20 * time.Millisecond); reset(c) }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestCluster(t)
			w.startReadingEndpoint("p", tlstand.ModelService, "prefill", c.serve)
			d := w.startEngine("d1", "decode")
			i := w.startInstance("a")
			w.eventually(func() bool { return len(i.directory.Endpoints(tlstand.ModelService)) == 2 })
			assert.Equal(t, threeEvents, w.call(i, streamCall("id-1", tlstand.StreamPath)).body)
			require.Len(t, d.Arrivals(), 1)
			if c.isReadTwo {
				assert.Empty(t, d.Arrivals()[0].Source)
				assert.EqualValues(t, 1, i.counters.gateway.Value(tlgateway.PrefilledAtDecode))
				return
			}
			assert.True(t, strings.HasSuffix(d.Arrivals()[0].Source, "/h-1"), d.Arrivals()[0].Source)
			assert.Empty(t, i.directory.Failing())
		})
	}
}

// forgetStart makes the entry of a raw engine one that doesn't tell when it started, since
// it can't answer the question for its incarnation.
func (w *testCluster) forgetStart(i *Instance, id string) {
	e, ok := i.directory.Find(id)
	require.True(w.t, ok)
	w.putRawEntry(id, e.Service, "decode", net.TCPAddrFromAddrPort(e.Address), 0)
	w.eventually(func() bool {
		e, ok := i.directory.Find(id)
		return ok && e.Incarnation == 0
	})
}

// noteOrigin tells an instance that version v1 of the engines began the stream of an attempt.
func (w *testCluster) noteOrigin(i *Instance, attempt string) {
	i.registry.Note(tlorigin.Origin{Attempt: attempt, Service: tlstand.ModelService, Version: "v1", Until: time.Now().Add(time.Minute)})
}

func TestStreamThatEndsWithItsConnectionBeforeAnyEventIsNotComplete(t *testing.T) {
	cases := []struct {
		name string
		// framing is the header that tells where the body ends, and end what ends it.
		framing, end string
		resumeAfter  string
		status       int
	}{
		{"1 neither length nor chunks", "", "", "", http.StatusBadGateway},
		{"2 an empty body of known length", "Content-Length: 0\r\n", "", "", http.StatusOK},
		{"3 an empty body in chunks", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n", "", http.StatusOK},
		{"4 neither length nor chunks, taken up after an event", "", "", "3", http.StatusBadGateway},
		{"5 an empty body in chunks, taken up after the last event", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n", "3", http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestCluster(t)
			w.startReadingEndpoint("e", tlstand.ModelService, "decode", func(k net.Conn) {
				_, _ = io.WriteString(k, "HTTP/1.1 200 OK\r\n"+tlstand.SealHeaderLine+c.framing+"\r\n"+c.end)
			})
			q, i := plainStreamCall("id-1"), w.startInstance("a")
			if c.resumeAfter != "" {
				q.ResumeAfter, q.Resumes = c.resumeAfter, "id-0"
				w.noteOrigin(i, "id-0")
				w.forgetStart(i, "e")
			}
			a := w.call(i, q)
			assert.Equal(t, c.status, a.status)
			assert.Equal(t, c.status == http.StatusOK, a.seal != "")
		})
	}
}
