package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

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
}

// Guards against an answer with a malformed head that is delivered, or that ends a caller's
// connection without an answer.
func TestAnswerWithABrokenHeadIsNone(t *testing.T) {
	for _, way := range endlessWays {
		for _, b := range brokenHeads {
			t.Run(way.name+", "+b.name, func(t *testing.T) {
				w := newTestCluster(t)
				head, body := unframedHead, smallBody
				if way.phase == "decode" {
					head, body = streamHead, threeEvents
				}
				w.startReadingEndpoint("e", way.service, way.phase, func(c net.Conn) {
					_, _ = io.WriteString(c, strings.Replace(head, b.old, b.new, 1)+body)
				})
				isPrompt := way.phase == "prefill"
				if isPrompt {
					w.startEngine("d1", "decode")
				}
				i := w.startInstance("a")
				q := way.call("id-1")
				q.Deadline = 2 * time.Second
				a := w.call(i, q)
				assert.Equal(t, []string{"e"}, i.directory.Failing())
				if isPrompt {
					assert.Equal(t, http.StatusOK, a.status, "the decode engine reads the prompt")
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
