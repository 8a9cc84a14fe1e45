package tlanswer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/io/tlstandin"
)

const (
	// smallBytes is the size of a body that the socket buffers take.
	smallBytes = 16 << 10

	unframed = "HTTP/1.1 200 OK\r\n\r\nan answer"
	framed   = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nan answer"
)

// serve starts a server that answers before it has read a request's body; it returns its address.
func serve(t *testing.T, answer func(*net.TCPConn, *http.Request)) string {
	t.Helper()
	e, err := tlstandin.NewEarly(answer)
	require.NoError(t, err)
	t.Cleanup(e.Close)
	return e.Address().String()
}

// newTransport returns a Transport that is closed with the test.
func newTransport(t *testing.T, base *http.Transport) *Transport {
	n := New(base)
	t.Cleanup(n.CloseIdleConnections)
	return n
}

// post sends a request with a body of some bytes and returns the answer's body.
func post(ctx context.Context, t *testing.T, n *Transport, address string, length int) (string, error) {
	t.Helper()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, bytes.NewReader(make([]byte, length)))
	require.NoError(t, err)
	a, err := n.RoundTrip(q)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

// write returns what writes raw bytes and then does some steps.
func write(raw string, steps ...func(*net.TCPConn, *http.Request)) func(*net.TCPConn, *http.Request) {
	return func(c *net.TCPConn, q *http.Request) {
		_, _ = io.WriteString(c, raw)
		for _, f := range steps {
			f(c, q)
		}
	}
}

func pause(*net.TCPConn, *http.Request) { time.Sleep(30 * time.Millisecond) }

func readRest(_ *net.TCPConn, q *http.Request) { _, _ = io.Copy(io.Discard, q.Body) }

func halfClose(c *net.TCPConn, _ *http.Request) { _ = c.CloseWrite() }

func reset(c *net.TCPConn, _ *http.Request) { _ = c.SetLinger(0) }

// Guards against a body that ends without an error though nothing proves its end, and against
// one that is whole and doesn't.
func TestEndOfABodyIsProved(t *testing.T) {
	cases := []struct {
		name    string
		length  int
		answer  func(*net.TCPConn, *http.Request)
		isWhole bool
	}{
		{"1 reset within the upload", tlstandin.UploadBytes, write(unframed, pause, reset), false},
		{"2 closed within the upload", tlstandin.UploadBytes, write(unframed, pause), false},
		{"3 half-closed, then reset within the upload", tlstandin.UploadBytes, write(unframed, halfClose, pause, reset), false},
		{"4 reset after the upload was written into a buffer", smallBytes, write(unframed, pause, reset), false},
		{"5 reads the rest and closes", tlstandin.UploadBytes, write(unframed, pause, readRest), true},
		{"6 half-closed, then reads the rest", tlstandin.UploadBytes, write(unframed, halfClose, pause, readRest), true},
		{"7 half-closed after the upload was written into a buffer", smallBytes, write(unframed, pause, halfClose, pause), true},
		{"8 without a body", 0, write(unframed), true},
		{"9 with a length, closed within the upload", tlstandin.UploadBytes, write(framed, pause), true},
		{"10 with a length, reads the rest", tlstandin.UploadBytes, write(framed, pause, readRest), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newTransport(t, &http.Transport{DisableKeepAlives: true})
			address := serve(t, c.answer)
			for range 10 {
				body, err := post(context.Background(), t, n, address, c.length)
				if !c.isWhole {
					require.Error(t, err)
					continue
				}
				require.NoError(t, err)
				require.Equal(t, "an answer", body)
			}
		})
	}
}

// racedConn is a connection whose answer ends before the write of its request returns.
type racedConn struct {
	net.Conn
	answer io.Reader
	// begun is closed with the first write, and ended once the answer has been read.
	begun, ended         chan struct{}
	hasWritten, hasEnded sync.Once
	writeErr             error
	written              int
}

// Read reads the answer, which comes once the request has begun.
func (c *racedConn) Read(b []byte) (int, error) {
	<-c.begun
	n, err := c.answer.Read(b)
	if errors.Is(err, io.EOF) {
		c.hasEnded.Do(func() { close(c.ended) })
	}
	return n, err
}

// Write writes the first bytes at once; all others wait until the answer has ended.
func (c *racedConn) Write(b []byte) (int, error) {
	c.hasWritten.Do(func() { close(c.begun) })
	c.written += len(b)
	if c.written <= smallBytes {
		return len(b), nil
	}
	<-c.ended
	time.Sleep(10 * time.Millisecond)
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	return len(b), nil
}

// Close does nothing.
func (c *racedConn) Close() error { return nil }

// Guards against an end that is taken in before the write that the reset fails has returned, and
// against one that is dropped since the last write, which succeeds, has not.
func TestEndWaitsForTheWriteUnderWay(t *testing.T) {
	cases := []struct {
		name string
		err  error
	}{
		{"1 it fails with a reset", syscall.ECONNRESET},
		{"2 it fails since the connection is closed", syscall.EPIPE},
		{"3 it succeeds", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			k := &racedConn{answer: strings.NewReader(unframed), begun: make(chan struct{}), ended: make(chan struct{}), writeErr: c.err}
			n := newTransport(t, &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return k, nil }})
			body, err := post(context.Background(), t, n, "127.0.0.1:1", 2*smallBytes)
			if c.err == nil {
				require.NoError(t, err)
				assert.Equal(t, "an answer", body)
				return
			}
			require.Error(t, err)
		})
	}
}

// Guards against a caller that is kept by an endpoint that neither reads nor closes.
func TestEndThatWaitsForTheUploadEndsWithItsContext(t *testing.T) {
	release := make(chan struct{})
	address := serve(t, write(unframed, halfClose, func(*net.TCPConn, *http.Request) { <-release }))
	t.Cleanup(func() { close(release) })
	ctx, stop := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer stop()
	_, err := post(ctx, t, newTransport(t, &http.Transport{}), address, tlstandin.UploadBytes)
	require.Error(t, err)
	require.Error(t, ctx.Err())
}

// Guards against an upload that never counts as written, or too early, since its head is written in parts.
func TestHeadEndsWhereverItsWritesAreSplit(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nA: \r\r\nB: c\r\n\r\nbody"
	head := strings.Index(request, headEnd) + len(headEnd)
	for split := range request {
		for again := split; again < len(request); again++ {
			u := newUpload(int64(len(request) - head))
			for _, piece := range []string{request[:split], request[split:again], request[again:]} {
				assert.False(t, u.isSettled)
				u.wrote([]byte(piece), nil)
			}
			assert.True(t, u.wait(), "split at %d and %d", split, again)
		}
	}
}

// Guards against an answer that HTTP/1 does not allow, and a connection that goes on after it.
func TestMalformedAnswerIsNone(t *testing.T) {
	cases := []struct {
		name, raw string
		defect    Defect
	}{
		{"1 status 000", "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n", BadStatus},
		{"2 status 099", "HTTP/1.1 099 Odd\r\nContent-Length: 0\r\n\r\n", BadStatus},
		{"3 status +20", "HTTP/1.1 +20 Odd\r\nContent-Length: 0\r\n\r\n", BadStatus},
		{"4 status 600", "HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n", BadStatus},
		{"5 status 999", "HTTP/1.1 999 Odd\r\n\r\nan answer", BadStatus},
		{"6 status 101 unasked", "HTTP/1.1 101 Odd\r\n\r\n", BadSwitch},
		{"7 HTTP/2.0", "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n", BadVersion},
		{"8 HTTP/0.9", "HTTP/0.9 200 OK\r\n\r\nan answer", BadVersion},
		{"9 status 000 after an interim answer", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n", BadStatus},
		{"10 a blank before a colon", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Odd : 1\r\n\r\n", BadName},
		{"11 a length with a blank before its colon", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nan answer", BadName},
		{"12 a blank in a name", "HTTP/1.1 204 No Content\r\nX Odd: 1\r\n\r\n", BadName},
		{"13 a blank in a name of an interim answer", "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + framed, BadName},
		{"14 a blank in a name of a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Odd: 1\r\n\r\n", BadName},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			isClosed := make(chan bool, 1)
			address := serve(t, write(c.raw, readRest, func(k *net.TCPConn, _ *http.Request) {
				_ = k.SetReadDeadline(time.Now().Add(5 * time.Second))
				_, err := k.Read(make([]byte, 1))
				isClosed <- err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
			}))
			_, err := post(context.Background(), t, newTransport(t, &http.Transport{}), address, 10)
			var malformed *Error
			require.ErrorAs(t, err, &malformed)
			assert.Equal(t, c.defect, malformed.Defect)
			assert.True(t, <-isClosed, "the connection carries no other request")
		})
	}
}

// Guards against a whole answer that is taken for malformed.
func TestAnswerThatHTTPAllowsCounts(t *testing.T) {
	for _, raw := range []string{
		unframed,
		framed,
		"HTTP/1.0 200 OK\r\n\r\nan answer",
		"HTTP/1.1 599 Odd\r\n\r\nan answer",
		"HTTP/1.1 299\r\n\r\nan answer",
		"HTTP/1.1 200 OK\nContent-Length: 9\n\nan answer",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nan answer\r\n0\r\nX-Sum: 1\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + framed,
		"HTTP/1.1 200 OK\r\nX-Folded: a\r\n Content-Length: 2\r\nX!#$%&'*+-.^_`|~1: caf\xe9\r\n\r\nan answer",
	} {
		t.Run(raw, func(t *testing.T) {
			body, err := post(context.Background(), t, newTransport(t, &http.Transport{}), serve(t, write(raw, readRest)), 10)
			require.NoError(t, err)
			assert.Equal(t, "an answer", body)
		})
	}
}

// Guards against an operator who reaches no instance behind a server of HTTP/2.
func TestAnswerOfANegotiatedVersionCounts(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, 2, r.ProtoMajor)
		_, _ = io.WriteString(w, "an answer")
	}))
	s.EnableHTTP2 = true
	s.StartTLS()
	t.Cleanup(s.Close)
	q, err := http.NewRequest(http.MethodGet, s.URL, http.NoBody)
	require.NoError(t, err)
	a, err := newTransport(t, s.Client().Transport.(*http.Transport)).RoundTrip(q)
	require.NoError(t, err)
	body, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	require.NoError(t, a.Body.Close())
	assert.Equal(t, "an answer", string(body))
}

// Guards against interim answers that come without end, since they are looked at.
func TestInterimAnswersAreBounded(t *testing.T) {
	cases := []struct {
		name, head string
		limit      int64
	}{
		{"1 with a field", "HTTP/1.1 103 Early Hints\r\nX-Filler: " + strings.Repeat("f", 1000) + "\r\n\r\n", 64 << 10},
		{"2 empty", "HTTP/1.1 100 \r\n\r\n", 64 << 10},
		{"3 no limit set", "HTTP/1.1 103 Early Hints\r\nX-Filler: " + strings.Repeat("f", 1000) + "\r\n\r\n", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			written := make(chan int, 1)
			address := serve(t, func(k *net.TCPConn, _ *http.Request) {
				n := 0
				for err := error(nil); err == nil; n += len(c.head) {
					_, err = io.WriteString(k, c.head)
				}
				written <- n
			})
			ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
			defer stop()
			_, err := post(ctx, t, newTransport(t, &http.Transport{MaxResponseHeaderBytes: c.limit}), address, 10)
			var tooLong *Error
			require.ErrorAs(t, err, &tooLong)
			assert.Equal(t, TooLong, tooLong.Defect)
			assert.Less(t, int64(<-written), max(c.limit, defaultHeadBytes)+16<<20, "socket buffers take the rest")
		})
	}
}
