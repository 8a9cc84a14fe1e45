package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"trefoillanding/platform/tlstand"
)

// Guards against a success, framed as whole, made of an answer whose endpoint stopped in the
// middle of its head.
func TestAnswerWhoseHeadIsCutIsNoSuccess(t *testing.T) {
	heads := map[string]string{
		"a length": "HTTP/1.1 200 OK\r\n" + tlstand.SealHeaderLine + "Content-Length: 10\r\n\r\n",
		"chunks":   chunkedHead,
		"neither":  unframedHead,
	}
	for _, way := range endlessWays {
		for name, head := range heads {
			for n, cut := range []int{len("HTTP/1.1 20"), len("HTTP/1.1 200 OK\r\n"), len(head) - 3, len(head) - 2} {
				isReset := n%2 == 0
				t.Run(fmt.Sprintf("%s, %s, %d bytes, reset %t", way.name, name, cut, isReset), func(t *testing.T) {
					w := newTestCluster(t)
					w.startReadingEndpoint("e", way.service, way.phase, func(c net.Conn) {
						_, _ = io.WriteString(c, head[:cut])
						if isReset {
							time.Sleep(20 * time.Millisecond)
							reset(c)
						}
					})
					if way.phase == "prefill" {
						w.startEngine("d1", "decode")
					}
					i := w.startInstance("a")
					q := way.call("id-1")
					q.Deadline = 700 * time.Millisecond
					status, isWhole := w.tryCall(i, q)
					if way.phase == "prefill" {
						assert.True(t, status == http.StatusOK && isWhole, "another engine answers")
						return
					}
					assert.Contains(t, []int{0, http.StatusBadGateway, http.StatusGatewayTimeout}, status, "the request may have run")
				})
			}
		}
	}
}

// startEndingEndpoint starts an endpoint that ends with the answer to its first request.
func (w *testCluster) startEndingEndpoint(id, service string, pieces ...string) {
	w.t.Helper()
	listening := make(chan net.Listener, 1)
	listening <- w.serveConnections(id, service, "", func(c net.Conn) {
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil || tlstand.AttemptID(q.Header) == "" {
			return
		}
		select {
		case l := <-listening:
			_ = l.Close()
		default:
			return
		}
		write(20*time.Millisecond, pieces...)(echoConn{c, tlstand.AttemptID(q.Header)})
	})
}

// Guards against an answer that looks complete, though nothing but the end of its
// connection ended it, and the endpoint ended with that.
func TestAnswerWithoutALengthThatEndsWithItsEndpointIsNotComplete(t *testing.T) {
	cases := []struct {
		name   string
		call   func(string) tlstand.Call
		pieces []string
	}{
		{"1 idempotent", repeatableCall, []string{unframedHead + smallBody}},
		{"2 at most once", onceCall, []string{unframedHead + smallBody}},
		{"3 at most once, ends after the head", onceCall, []string{unframedHead}},
		{"4 at most once, large", onceCall, []string{unframedHead + largeBody[:300<<10], largeBody[300<<10:]}},
		{"5 a failure", onceCall, []string{strings.Replace(unframedHead, "200 OK", "500 Failed", 1) + smallBody}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestCluster(t)
			w.startEndingEndpoint("e", tlstand.PlainService, c.pieces...)
			i := w.startInstance("a")
			q := c.call("id-1")
			q.Deadline = 2 * time.Second
			status, isWhole := w.tryCall(i, q)
			if status == http.StatusOK {
				assert.False(t, isWhole)
				return
			}
			assert.Contains(t, []int{0, http.StatusBadGateway, http.StatusGatewayTimeout}, status, "the request may have run")
		})
	}
}

// Guards against a repeatable request that gets such an answer though another endpoint could answer.
func TestRequestWhoseEndpointEndsWithItsAnswerIsServedElsewhere(t *testing.T) {
	w := newTestCluster(t)
	w.startEndingEndpoint("ending", tlstand.PlainService, unframedHead+smallBody)
	w.startPlainEndpoint("e2")
	i := w.startInstance("a")
	w.eventually(func() bool { return len(i.directory.Endpoints(tlstand.PlainService)) == 2 })
	var calls sync.WaitGroup
	for n := range 6 {
		calls.Go(func() {
			a := w.call(i, repeatableCall(fmt.Sprint("id-", n)))
			assert.Equal(t, http.StatusOK, a.status)
			assert.Equal(t, "answer of e2", a.body)
		})
	}
	calls.Wait()
}
