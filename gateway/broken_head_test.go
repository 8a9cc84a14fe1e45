package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/platform/tlform"
	"trefoillanding/platform/tlstand"
)

// brokenHeads make heads that HTTP/1 does not allow of one that it does.
var brokenHeads = []struct {
	name     string
	old, new string
}{
	{"status 000", "200 OK", "000 Odd"},
	{"status 099", "200 OK", "099 Odd"},
	{"status +20", "200 OK", "+20 Odd"},
	{"status -20", "200 OK", "-20 Odd"},
	{"status 600", "200 OK", "600 Odd"},
	{"status 999", "200 OK", "999 Odd"},
	{"status 101 unasked", "200 OK", "101 Odd"},
	{"HTTP/2.0", "HTTP/1.1", "HTTP/2.0"},
	{"a blank before a colon", "Content-Type:", "X-Odd : 1\r\nContent-Type:"},
	{"a blank in a name", "Content-Type:", "X Odd: 1\r\nContent-Type:"},
	{"a length with a blank before its colon", "Content-Type:", "Content-Length : 4\r\nContent-Type:"},
	{"chunks with a blank before their colon", "Content-Type:", "Transfer-Encoding : chunked\r\nContent-Type:"},
	{"a tab in a name", "Content-Type:", "X\tOdd: 1\r\nContent-Type:"},
	{"a bell in a name", "Content-Type:", "X\aOdd: 1\r\nContent-Type:"},
	{"a NUL in a name", "Content-Type:", "X\x00Odd: 1\r\nContent-Type:"},
	{"a carriage return in a name", "Content-Type:", "X\rOdd: 1\r\nContent-Type:"},
	{"a name that is empty", "Content-Type:", ": 1\r\nContent-Type:"},
	{"a bell in a value", "Content-Type:", "X-Odd: 1\a\r\nContent-Type:"},
	{"a carriage return in a value", "Content-Type:", "X-Odd: 1\rContent-Length: 4\r\nContent-Type:"},
}

// Guards against an answer with a malformed head that is delivered, or that ends a caller's
// connection without an answer.
func TestAnswerWithABrokenHeadIsNone(t *testing.T) {
	prefilled, err := json.Marshal(tlform.Prefilled{KvHandle: "h-1", Tokens: 1000})
	require.NoError(t, err)
	for _, way := range endlessWays {
		if way.name == "a resumable stream" {
			// It waits for another engine until its deadline; it is tried with two below.
			continue
		}
		for _, b := range brokenHeads {
			t.Run(way.name+", "+b.name, func(t *testing.T) {
				w := newTestCluster(t)
				head, body := unframedHead, smallBody
				switch way.phase {
				case "decode":
					head, body = streamHead, threeEvents
				case "prefill":
					body = string(prefilled)
				}
				w.startReadingEndpoint("e", way.service, way.phase, func(c net.Conn) {
					_, _ = io.WriteString(c, strings.Replace(head, b.old, b.new, 1)+body)
				})
				var d *tlstand.Endpoint
				if way.phase == "prefill" {
					d = w.startEngine("d1", "decode")
				}
				i := w.startInstance("a")
				q := way.call("id-1")
				q.Deadline = 2 * time.Second
				a := w.call(i, q)
				assert.Equal(t, []string{"e"}, i.directory.Failing())
				if d != nil {
					assert.Equal(t, http.StatusOK, a.status, a.body)
					assert.Empty(t, d.Arrivals()[0].Source, "the decode engine reads the prompt")
					return
				}
				assert.Equal(t, http.StatusBadGateway, a.status, a.body)
				assert.Equal(t, "MayHaveRun", a.header.Get("Trefoil-Verdict"))
				assert.NotContains(t, a.body, body)
			})
		}
	}
}

// Guards against a repeatable request that fails on such an answer though another endpoint
// could answer, and against one that may have run and runs again.
func TestRequestWhoseAnswerHasABrokenHead(t *testing.T) {
	for _, b := range brokenHeads {
		t.Run(b.name, func(t *testing.T) {
			w := newTestCluster(t)
			all := []*tlstand.Endpoint{w.startPlainEndpoint("e1"), w.startPlainEndpoint("e2")}
			unframed(strings.Replace(unframedHead, b.old, b.new, 1)+smallBody, false, all...)
			i := w.startInstance("a")
			w.eventually(func() bool { return len(i.directory.Endpoints(tlstand.PlainService)) == 2 })
			a := w.call(i, repeatableCall("id-1"))
			assert.Equal(t, http.StatusOK, a.status, a.body)
			assert.Contains(t, []string{"answer of e1", "answer of e2"}, a.body)
		})
		t.Run(b.name+", a resumable stream", func(t *testing.T) {
			w := newTestCluster(t)
			all := []*tlstand.Endpoint{w.startEngine("d1", "decode"), w.startEngine("d2", "decode")}
			unframed(strings.Replace(streamHead, b.old, b.new, 1)+threeEvents, false, all...)
			i := w.startInstance("a")
			w.eventually(func() bool { return len(i.directory.Endpoints(tlstand.ModelService)) == 2 })
			a := w.call(i, resumableCall("id-1"))
			assert.Equal(t, http.StatusOK, a.status, a.body)
			assert.Equal(t, threeEvents, a.body)
			assert.Len(t, append(all[0].Arrivals(), all[1].Arrivals()...), 2)
		})
		t.Run(b.name+", at most once", func(t *testing.T) {
			w := newTestCluster(t)
			all := []*tlstand.Endpoint{w.startPlainEndpoint("e1"), w.startPlainEndpoint("e2")}
			unframed(strings.Replace(unframedHead, b.old, b.new, 1)+smallBody, false, all...)
			i := w.startInstance("a")
			w.eventually(func() bool { return len(i.directory.Endpoints(tlstand.PlainService)) == 2 })
			a := w.call(i, onceCall("id-1"))
			assert.Equal(t, http.StatusBadGateway, a.status, a.body)
			assert.Equal(t, 1, len(all[0].Arrivals())+len(all[1].Arrivals()))
		})
	}
}

// Guards against an answer that counts though the head of an interim answer before it, or its
// trailer, is malformed.
func TestAnswerWithABrokenInterimHeadOrTrailerIsNone(t *testing.T) {
	const events = "Content-Type: text/event-stream\r\n\r\n"
	chunked := strings.Replace(chunkedHead, "\r\n\r\n", "\r\n", 1)
	cases := []struct {
		name     string
		isStream bool
		pieces   []string
	}{
		{"1 an interim head", false, []string{"HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n", unframedHead + smallBody}},
		{"2 an interim head of a stream", true, []string{"HTTP/1.1 103 Early Hints\r\nContent-Length : 4\r\n\r\n", streamHead + threeEvents}},
		{"3 a bell in an interim head", false, []string{"HTTP/1.1 103 Early Hints\r\nX\aOdd: 1\r\n\r\n", unframedHead + smallBody}},
		{"4 a trailer", false, []string{chunkedHead + "9\r\n" + smallBody + "\r\n0\r\nX Odd: 1\r\n\r\n"}},
		{"5 a trailer of a stream", true, []string{chunked + events, fmt.Sprintf("%x\r\n%s\r\n0\r\nX-Odd : 1\r\n\r\n", len(threeEvents), threeEvents)}},
		{"6 a bell in a trailer", false, []string{chunkedHead + "9\r\n" + smallBody + "\r\n0\r\nX\aOdd: 1\r\n\r\n"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestCluster(t)
			call := onceCall("id-1")
			if c.isStream {
				call = plainStreamCall("id-1")
			}
			w.startOnlyEndpoint(c.isStream, write(0, c.pieces...))
			i := w.startInstance("a")
			status, isWhole := w.tryCall(i, call)
			assert.False(t, status == http.StatusOK && isWhole)
			assert.Contains(t, []int{http.StatusOK, http.StatusBadGateway}, status)
			assert.Equal(t, []string{"e"}, i.directory.Failing())
		})
	}
}

// Guards against an answer that is refused since its interim answer, its trailer or a folded
// line of its head is taken for malformed.
func TestAnswerWithAnInterimHeadATrailerOrAFoldedLineIsDelivered(t *testing.T) {
	cases := []struct {
		name   string
		pieces []string
	}{
		{"1 an interim head", []string{"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", unframedHead + smallBody}},
		{"2 a trailer", []string{chunkedHead + "9\r\n" + smallBody + "\r\n0\r\nX-Sum: 1\r\n\r\n"}},
		{"3 a folded line", []string{strings.Replace(unframedHead, "Content-Type:", "X-Folded: a\r\n Content-Length: 2\r\nContent-Type:", 1) + smallBody}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestCluster(t)
			w.startOnlyEndpoint(false, write(0, c.pieces...))
			a := w.call(w.startInstance("a"), onceCall("id-1"))
			assert.Equal(t, http.StatusOK, a.status, a.body)
			assert.Equal(t, smallBody, a.body)
			for _, lines := range a.header {
				for _, v := range lines {
					assert.NotContains(t, v, "\n")
				}
			}
		})
	}
}
