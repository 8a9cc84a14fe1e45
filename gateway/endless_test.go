package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/platform"
	"trefoillanding/platform/tlform"
	"trefoillanding/platform/tlstand"
)

// maxHeapGrowth is how much the heap may grow while an endpoint sends without end.
const maxHeapGrowth = 32 << 20

// serveConnections lists an endpoint that passes each of its connections to serve, then closes it.
func (w *testCluster) serveConnections(id, service, phase string, serve func(net.Conn)) net.Listener {
	w.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(w.t, err)
	w.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	w.putRawEntry(id, service, phase, l.Addr(), 1)
	return l
}

// startRawEndpoint starts an endpoint that reads the head of each request and then
// calls serve, which writes what it likes; closed receives when the caller has closed.
func (w *testCluster) startRawEndpoint(id, service, phase string, serve func(net.Conn)) (closed chan struct{}) {
	w.t.Helper()
	closed = make(chan struct{}, 100)
	w.serveConnections(id, service, phase, func(c net.Conn) {
		if !readHead(c) {
			return
		}
		serve(c)
		select {
		case closed <- struct{}{}:
		default:
		}
	})
	return closed
}

func (w *testCluster) putRawEntry(id, service, phase string, a net.Addr, born int64) {
	w.store.PutJSON(platform.TopicEndpoints, id, tlform.Entry{
		Service: service, Address: a.String(), Zone: "z", Slots: 6, State: "ready", Version: "v1", Phase: phase, Born: born,
	})
}

// readHead reads the head of a request and what of its body comes with it.
func readHead(c net.Conn) bool {
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return false
		}
		if line == "\r\n" {
			return true
		}
	}
}

// repeat writes a head, then the same piece until the caller closes.
func repeat(head, piece string, pause time.Duration) func(net.Conn) {
	return func(c net.Conn) {
		_, err := io.WriteString(c, head)
		// The heap is measured meanwhile, so that the piece isn't copied for each write.
		b := []byte(piece)
		for err == nil {
			time.Sleep(pause)
			_, err = c.Write(b)
		}
	}
}

const (
	streamHead  = "HTTP/1.1 200 OK\r\n" + tlstand.SealHeaderLine + "Content-Type: text/event-stream\r\n\r\n"
	chunkedHead = "HTTP/1.1 200 OK\r\n" + tlstand.SealHeaderLine + "Transfer-Encoding: chunked\r\n\r\n"
)

var block = strings.Repeat("x", 64<<10)

func TestBytesWithoutEndAreCutOff(t *testing.T) {
	const deadline = 1500 * time.Millisecond
	cases := []struct {
		name string
		// isSlow says that the deadline is what ends it, not the number of bytes.
		isSlow bool
		serve  func(net.Conn)
	}{
		{"1 bytes that are no head", false, repeat("", block, 0)},
		{"2 a head without end", false, repeat("HTTP/1.1 200 OK\r\n", "X-Filler: "+block[:1000]+"\r\n", 0)},
		{"3 a header line without end", false, repeat("HTTP/1.1 200 OK\r\nX-Filler: ", block, 0)},
		{"4 interim answers without end", false, repeat("", "HTTP/1.1 103 Early Hints\r\nX-Filler: "+block[:1000]+"\r\n\r\n", 0)},
		{"5 a head, a byte now and then", true, repeat("HTTP/1.1 200 OK\r\nX-Filler: ", "x", 50*time.Millisecond)},
		{"6 an event without end", false, repeat(streamHead+"id: 1\ndata: ", block, 0)},
		{"7 an event without end after a whole one", false, repeat(streamHead+"id: 1\ndata: a\n\nid: 2\ndata: ", block, 0)},
		{"8 an event, a byte now and then", true, repeat(streamHead+"id: 1\ndata: ", "x", 50*time.Millisecond)},
		{"9 chunks without end", false, repeat(chunkedHead, "10000\r\n"+block+"\r\n", 0)},
		{"10 a chunk's size without end", false, repeat(chunkedHead, block, 0)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestCluster(t)
			closed := w.startRawEndpoint("d1", tlstand.ModelService, "decode", c.serve)
			i := w.startInstance("a")
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			q := streamCall("id-1", tlstand.StreamPath)
			q.Deadline = deadline
			began := time.Now()
			status, whole := w.tryCall(i, q)
			if took := time.Since(began); c.isSlow {
				assert.Less(t, took, deadline+time.Second)
			} else {
				assert.Less(t, took, deadline-200*time.Millisecond, "the bytes are bounded")
			}
			assert.False(t, whole && status == http.StatusOK, "no answer looks complete")
			assert.NotEqual(t, http.StatusServiceUnavailable, status, "the request may have run")
			select {
			case <-closed:
			case <-time.After(deadline + 2*time.Second):
				t.Fatal("the connection to the endpoint is still open")
			}
			runtime.ReadMemStats(&after)
			assert.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(maxHeapGrowth))
			assert.Equal(t, []string{"d1"}, i.directory.Failing())
		})
	}
}

// tryCall sends a call; status is 0 if there was no answer, and whole says whether its body ended.
func (w *testCluster) tryCall(i *Instance, c tlstand.Call) (status int, whole bool) {
	w.t.Helper()
	c.Host = tlstand.Host
	q, err := c.Request(i.settings.Listen)
	require.NoError(w.t, err)
	r, err := w.client.Do(q)
	if err != nil {
		return 0, false
	}
	defer r.Body.Close()
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err == nil
}

func TestPrefillAnswerWithoutEndIsCutOffAndTheDecodeEngineReads(t *testing.T) {
	w := newTestCluster(t)
	closed := w.startRawEndpoint("p", tlstand.ModelService, "prefill", repeat(chunkedHead, "10000\r\n"+block+"\r\n", 0))
	d := w.startEngine("d1", "decode")
	i := w.startInstance("a")
	assert.Equal(t, threeEvents, w.call(i, streamCall("id-1", tlstand.StreamPath)).body)
	assert.Len(t, d.Arrivals(), 1)
	<-closed
	assert.Equal(t, []string{"p"}, i.directory.Failing())
}

func TestReportWithoutEndIsCutOff(t *testing.T) {
	w := newTestCluster(t)
	closed := w.startRawEndpoint("d1", tlstand.ModelService, "decode", repeat(chunkedHead, "10000\r\n"+block+"\r\n", 0))
	i := w.startInstance("a")
	e, ok := i.directory.Find("d1")
	require.True(t, ok)
	_, err := i.engineLoad(t.Context(), e)
	require.Error(t, err)
	<-closed
}

func TestStoreAnswersWithoutEndAreCutOffAndRequestsServed(t *testing.T) {
	raw := func(serve func(net.Conn)) func(http.ResponseWriter) error {
		return func(w http.ResponseWriter) error {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return err
			}
			defer c.Close()
			serve(c)
			return net.ErrClosed
		}
	}
	cases := []struct {
		name  string
		write func(http.ResponseWriter) error
	}{
		{"1 a body", func(w http.ResponseWriter) error { _, err := io.WriteString(w, block); return err }},
		{"2 a body, a byte now and then", func(w http.ResponseWriter) error {
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(w, "x")
			return http.NewResponseController(w).Flush()
		}},
		{"3 a head", raw(repeat("HTTP/1.1 200 OK\r\n", "X-Filler: "+block[:1000]+"\r\n", 0))},
		{"4 interim heads", raw(repeat("", "HTTP/1.1 103 Early Hints\r\nX-Filler: "+block[:1000]+"\r\n\r\n", 0))},
		{"5 a body with a length", raw(repeat("HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n", block, 0))},
		{"6 a body with neither", raw(repeat("HTTP/1.1 200 OK\r\n\r\n", block, 0))},
		{"7 a trailer", raw(repeat("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: "+block[:1000]+"\r\n", 0))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestCluster(t)
			w.startPlainEndpoint("e1")
			i := w.startInstance("a")
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			w.store.SetIntercept(func(rw http.ResponseWriter, _ *http.Request) bool {
				for c.write(rw) == nil {
					continue
				}
				return true
			})
			w.eventually(func() bool { return i.counters.store.Value(storeOutages) > 0 })
			assert.Equal(t, http.StatusOK, w.call(i, onceCall("id-1")).status)
			runtime.GC()
			runtime.ReadMemStats(&after)
			assert.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(maxHeapGrowth))
			w.store.SetIntercept(nil)
			w.eventually(i.followers[platform.TopicEndpoints].IsFresh)
		})
	}
}

// A drop between any two bytes never makes an answer look complete, and a request that
// may have run is never said not to have.
func TestDropBetweenAnyTwoBytesOfAnAnswer(t *testing.T) {
	const plain = "HTTP/1.1 200 OK\r\n" + tlstand.SealHeaderLine + "Content-Length: 5\r\n\r\nhello"
	const chunked = chunkedHead + "5\r\nhello\r\n0\r\n\r\n"
	const events = chunkedHead + "10\r\nid: 1\ndata: ab\n\n\r\n0\r\n\r\n"
	cases := []struct {
		name, text string
		call       func(string) tlstand.Call
		service    string
		phase      string
	}{
		{"1 with a length", plain, onceCall, tlstand.PlainService, ""},
		{"2 in chunks", chunked, onceCall, tlstand.PlainService, ""},
		{"3 events", events, func(id string) tlstand.Call { return streamCall(id, tlstand.StreamPath) }, tlstand.ModelService, "decode"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestCluster(t)
			var cut atomic.Int64
			// All IDs have the same length, so that each text is cut at the same places.
			attempt := func(n int64) string { return fmt.Sprintf("id-%04d", n) }
			text := func(n int64) string {
				return strings.Replace(c.text, tlstand.SealHeaderLine, tlstand.SealHeaderLine+tlstand.AttemptIDHeaderLine(attempt(n)), 1)
			}
			var address atomic.Pointer[net.Addr]
			w.startRawEndpoint("e", c.service, c.phase, func(conn net.Conn) {
				a := conn.LocalAddr()
				address.Store(&a)
				_, _ = io.WriteString(conn, text(cut.Load())[:cut.Load()])
			})
			i := w.startInstance("a")
			for n := range int64(len(text(0))) {
				cut.Store(n)
				if n > 0 {
					// A new incarnation is not avoided for the failure of the last one.
					w.putRawEntry("e", c.service, c.phase, *address.Load(), n+1)
				}
				w.eventually(func() bool {
					e, ok := i.directory.Find("e")
					return ok && e.Incarnation == n+1
				})
				status, whole := w.tryCall(i, c.call(attempt(n)))
				assert.False(t, status == http.StatusOK && whole, "cut after %d bytes", n)
				assert.NotEqual(t, http.StatusServiceUnavailable, status, "cut after %d bytes", n)
			}
		})
	}
}
