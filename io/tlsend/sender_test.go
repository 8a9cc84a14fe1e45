package tlsend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlhealth"
)

var codec = Codec{
	EncodeSend: func(h http.Header, c tlcall.Send) { h.Set("Target", c.Endpoint) },
	DecodeAnswer: func(status int, h http.Header) tlcall.Answer {
		return tlcall.Answer{ID: h.Get("Id"), IsSealed: h.Get("Unsealed") == "", NotRun: status == http.StatusServiceUnavailable}
	},
}

func newSender(t *testing.T) *Sender {
	s := New(codec, Hooks{
		Dial:      NewDialer().DialContext,
		OnDial:    func() {},
		OnAnswer:  func(tlendpoint.Endpoint, tlcall.Answer, time.Time) {},
		IsResting: func(e tlendpoint.Endpoint) bool { return e.ID == "resting" },
		IsLeaving: func(e tlendpoint.Endpoint) bool { return e.ID == "leaving" },
		Admit:     func(context.Context, tlendpoint.Endpoint) error { return nil },

		AdmitFollowUp: func(context.Context, tlendpoint.Endpoint) error { return nil },

		OnUnproved: func(tlendpoint.Endpoint, error) {},
	})
	t.Cleanup(s.Close)
	return s
}

// listen accepts raw TCP connections and calls serve for each, numbered from 0.
func listen(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) tlendpoint.Endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return tlendpoint.Endpoint{ID: "e", Address: netip.MustParseAddrPort(l.Addr().String())}
}

func writeAnswer(c net.Conn, id, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 2\r\n\r\n"+body)
}

func newGetRequest(id string) Request {
	return Request{ID: id, Method: http.MethodGet, Target: "/a//b/../c?d=%2f&e", Host: "h.example", Header: http.Header{}}
}

// wanting returns a request whose header also says which ID its answer bears.
func wanting(id string) Request {
	q := newGetRequest(id)
	q.Header.Set("Wants", id)
	return q
}

func readBody(t *testing.T, r *Reply) string {
	t.Helper()
	b, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	require.NoError(t, r.Body.Close())
	return string(b)
}

func TestSendKeepsTargetAndBodyUnchanged(t *testing.T) {
	var line, host, agent, body string
	e := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		line, _ = r.ReadString('\n')
		q, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(line), r)))
		if err != nil {
			return
		}
		host, agent = q.Host, q.Header.Get("User-Agent")
		b, _ := io.ReadAll(q.Body)
		body = string(b)
		writeAnswer(c, "1", "ok")
	})
	q := newGetRequest("1")
	q.Method, q.Body = http.MethodPost, []byte("pay")
	r, err := newSender(t).Send(context.Background(), e, q, tlcall.Send{})
	require.NoError(t, err)
	assert.Equal(t, "ok", readBody(t, r))
	assert.Equal(t, "POST /a//b/../c?d=%2f&e HTTP/1.1\r\n", line)
	assert.Equal(t, "h.example", host)
	assert.Empty(t, agent)
	assert.Equal(t, "pay", body)
}

// Guards against a request that runs with another path or query than it was sent with.
func TestSendKeepsAnyTargetUnchanged(t *testing.T) {
	lines := make(chan string, 1)
	e := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		line, _ := r.ReadString('\n')
		lines <- line
		if _, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader("GET / HTTP/1.1\r\n"), r))); err == nil {
			writeAnswer(c, "1", "ok")
		}
	})
	for _, target := range []string{
		"/a%2Fb", "/a|b?", "//a%2Fb/c?d=%2f", "//a", "//", "///a//%2e%2E", "//a?", "//a?b=?c", "//a%20b", "//a!$&'()*+,;=:@[]", "//%E4%BD%A0",
	} {
		t.Run(target, func(t *testing.T) {
			require.True(t, CanSend(target))
			q := newGetRequest("1")
			q.Target = target
			_, err := newSender(t).Send(context.Background(), e, q, tlcall.Send{})
			require.NoError(t, err)
			assert.Equal(t, "GET "+target+" HTTP/1.1\r\n", <-lines)
		})
	}
	for _, target := range []string{"//a|b", "//a%zz", "//a\xe4", `//a"b`, "//a#b"} {
		assert.False(t, CanSend(target), target)
	}
}

func FuzzTargetIsSentUnchanged(f *testing.F) {
	for _, target := range []string{"/", "//a%2Fb?c", "/a:b", "*", "//a?", "/../a", "//\xe4", "/a#b", "///?//"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		// The server of callers accepts no other.
		if _, err := url.ParseRequestURI(target); err != nil || !strings.HasPrefix(target, "/") || !CanSend(target) {
			t.Skip()
		}
		var sent bytes.Buffer
		q := newRequest(context.Background(), "127.0.0.1:1", target, newGetRequest("1"), http.Header{})
		require.NoError(t, q.Write(&sent))
		line, _, _ := strings.Cut(sent.String(), "\r\n")
		assert.Equal(t, "GET "+target+" HTTP/1.1", line)
	})
}

// By default net/http's Transport retries a GET when a reused connection fails,
// so that an endpoint could run the request twice.
func TestSendDoesNotRetryWhenReusedConnectionFails(t *testing.T) {
	var arrived atomic.Int32
	e := listen(t, func(n int, c net.Conn, r *bufio.Reader) {
		for i := 0; ; i++ {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			arrived.Add(1)
			if n == 0 && i == 1 {
				return
			}
			writeAnswer(c, q.Header.Get("Wants"), "ok")
		}
	})
	s := newSender(t)
	r, err := s.Send(context.Background(), e, wanting("1"), tlcall.Send{})
	require.NoError(t, err)
	readBody(t, r)
	time.Sleep(20 * time.Millisecond)
	_, err = s.Send(context.Background(), e, wanting("2"), tlcall.Send{})
	var f *Error
	require.ErrorAs(t, err, &f)
	assert.True(t, f.MayHaveRun)
	assert.Equal(t, tlhealth.Broken, f.Outcome)
	assert.Equal(t, int32(2), arrived.Load())
}

func TestSendRejectsAnswerToAnotherRequest(t *testing.T) {
	e := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		writeAnswer(c, "other", "no")
	})
	_, err := newSender(t).Send(context.Background(), e, newGetRequest("1"), tlcall.Send{})
	assert.ErrorIs(t, err, errOtherRequest)
}

func TestErrorReportsWhetherRequestMayHaveRun(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unreached := tlendpoint.Endpoint{ID: "u", Address: netip.MustParseAddrPort(closed.Addr().String())}
	require.NoError(t, closed.Close())
	silent := listen(t, func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) })
	disconnecting := listen(t, func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = http.ReadRequest(r) })
	cases := []struct {
		name       string
		endpoint   tlendpoint.Endpoint
		mayHaveRun bool
		outcome    tlhealth.Outcome
	}{
		{"1 connection refused", unreached, false, tlhealth.ConnectFailed},
		{"2 answer times out", silent, true, tlhealth.TimedOut},
		{"3 connection closed without an answer", disconnecting, true, tlhealth.Broken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, stop := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer stop()
			_, err := newSender(t).Send(ctx, c.endpoint, newGetRequest("1"), tlcall.Send{})
			var f *Error
			require.True(t, errors.As(err, &f))
			assert.Equal(t, c.mayHaveRun, f.MayHaveRun)
			assert.Equal(t, c.outcome, f.Outcome)
		})
	}
}

func TestEndpointHasEndedOnceItRefusesConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := tlendpoint.Endpoint{ID: "e", Address: netip.MustParseAddrPort(l.Addr().String())}
	s := newSender(t)
	assert.False(t, s.HasEnded(context.Background(), e))
	require.NoError(t, l.Close())
	assert.True(t, s.HasEnded(context.Background(), e))
	late, stop := context.WithCancel(context.Background())
	stop()
	assert.False(t, s.HasEnded(late, e), "nothing was heard")
}

// An endpoint may ask for rest, or say that it leaves, after a request was admitted, while
// the request waits or its prompt is read.
func TestAdmittedRequestIsNotSentToAnEndpointThatWantsNoneByNow(t *testing.T) {
	for _, id := range []string{"resting", "leaving"} {
		t.Run(id, func(t *testing.T) {
			var arrived atomic.Int32
			e := listen(t, func(int, net.Conn, *bufio.Reader) { arrived.Add(1) })
			e.ID = id
			_, err := newSender(t).Send(context.Background(), e, newGetRequest("1"), tlcall.Send{IsAdmitted: true})
			var f *Error
			require.ErrorAs(t, err, &f)
			assert.True(t, f.IsUnsent)
			assert.False(t, f.MayHaveRun)
			assert.Zero(t, arrived.Load())
		})
	}
}

// A stream that an endpoint began goes on while it leaves, and needs its report for that.
func TestOwnCallIsSentToAnEndpointThatLeaves(t *testing.T) {
	e := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	e.ID = "leaving"
	r, err := newSender(t).Send(context.Background(), e, newGetRequest(""), tlcall.Send{})
	require.NoError(t, err)
	assert.Equal(t, "ok", readBody(t, r))
}
