package tlsend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlendpoint"
)

// Raw answers of endpoints.
const (
	refusalOf1  = "HTTP/1.1 503 Busy\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
	refusalOf0  = "HTTP/1.1 503 Busy\r\nId: 0\r\nContent-Length: 0\r\n\r\n"
	bareRefusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
	bareSuccess = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n00000"
	unsealedOf1 = "HTTP/1.1 200 OK\r\nId: 1\r\nUnsealed: 1\r\nContent-Length: 2\r\n\r\nno"
	sealedOf1   = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	failureOf1  = "HTTP/1.1 500 Failed\r\nId: 1\r\nUnsealed: 1\r\nContent-Length: 0\r\n\r\n"
	accepted    = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
)

// Guards against answers that are not those to their request: bytes of a faulty endpoint
// as a success, and a refusal of another request as the promise that nothing ran.
func TestAnswerThatIsNotProvedCountsAsNone(t *testing.T) {
	cases := []struct {
		name, id string
		stage    tlcall.Stage
		answer   string
		isProved bool
	}{
		{"1 success", "1", tlcall.Whole, sealedOf1, true},
		{"2 success without a seal", "1", tlcall.Whole, unsealedOf1, false},
		{"3 success without an id", "1", tlcall.Whole, bareSuccess, false},
		{"4 prefill, which bears no seal", "1", tlcall.Prefill, unsealedOf1, true},
		{"5 prefill without an id", "1", tlcall.Prefill, bareSuccess, false},
		{"6 refusal", "1", tlcall.Whole, refusalOf1, true},
		{"7 refusal of another request", "1", tlcall.Whole, refusalOf0, false},
		{"8 refusal without an id", "1", tlcall.Whole, bareRefusal, false},
		{"9 failure", "1", tlcall.Whole, failureOf1, true},
		{"10 call of the instance's own", "", tlcall.Whole, accepted, true},
		{"11 call that gets a request's answer", "", tlcall.Whole, refusalOf1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ended := make(chan struct{})
			e := listen(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = io.WriteString(conn, c.answer)
				}
				_, _ = io.Copy(io.Discard, r)
				close(ended)
			})
			s := newSender(t)
			heard, unproved := 0, 0
			s.hooks.OnAnswer = func(tlendpoint.Endpoint, tlcall.Answer, time.Time) { heard++ }
			s.hooks.OnUnproved = func(tlendpoint.Endpoint, error) { unproved++ }
			r, err := s.Send(context.Background(), e, newGetRequest(c.id), tlcall.Send{Stage: c.stage})
			if c.isProved {
				require.NoError(t, err)
				readBody(t, r)
				assert.Equal(t, 1, heard)
				return
			}
			var f *Error
			require.ErrorAs(t, err, &f)
			assert.True(t, f.MayHaveRun)
			assert.Zero(t, heard, "what it says of the endpoint counts neither")
			assert.Equal(t, 1, unproved)
			select {
			case <-ended:
			case <-time.After(time.Second):
				assert.Fail(t, "the connection is still open")
			}
		})
	}
}

// Guards against a refusal, written once more, that is taken for the answer to a later
// send of the same request on the same connection.
func TestRequestIsNotSentAgainOnAConnectionThatHasCarriedIt(t *testing.T) {
	e := listen(t, func(n int, c net.Conn, r *bufio.Reader) {
		answers := []string{refusalOf1}
		if n > 0 {
			answers = []string{sealedOf1}
		}
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			for _, a := range answers {
				_, _ = io.WriteString(c, a)
			}
		}
	})
	s := newSender(t)
	r, err := s.Send(context.Background(), e, newGetRequest("1"), tlcall.Send{})
	require.NoError(t, err)
	assert.True(t, r.Answer.NotRun)
	readBody(t, r)
	r, err = s.Send(context.Background(), e, newGetRequest("1"), tlcall.Send{})
	require.NoError(t, err)
	assert.False(t, r.Answer.NotRun, "the first connection would have answered as before")
	assert.Equal(t, "ok", readBody(t, r))
}

// Guards against the answer to an earlier order that is taken for that to the next one.
func TestCallWithoutIDIsAloneOnItsConnection(t *testing.T) {
	var connections, calls atomic.Int32
	e := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		connections.Add(1)
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			calls.Add(1)
			_, _ = io.WriteString(c, accepted)
		}
	})
	s := newSender(t)
	for range 3 {
		r, err := s.Send(context.Background(), e, newGetRequest(""), tlcall.Send{})
		require.NoError(t, err)
		readBody(t, r)
	}
	assert.Equal(t, int32(3), calls.Load())
	assert.Equal(t, int32(3), connections.Load())
}

// Guards against requests that net/http's Transport repeats by itself, since it holds them
// for replayable.
func TestLibraryRepeatsNoRequest(t *testing.T) {
	cases := []struct {
		name, method, header string
		body                 []byte
	}{
		{"1 GET", http.MethodGet, "", nil},
		{"2 POST", http.MethodPost, "", []byte("pay")},
		{"3 POST without a body", http.MethodPost, "", nil},
		{"4 POST with a key", http.MethodPost, "Idempotency-Key", []byte("pay")},
		{"5 POST with a key, without a body", http.MethodPost, "Idempotency-Key", nil},
		{"6 POST with the other key, without a body", http.MethodPost, "X-Idempotency-Key", nil},
		{"7 DELETE with a key", http.MethodDelete, "Idempotency-Key", nil},
	}
	for _, c := range cases {
		for _, isForwarded := range []bool{false, true} {
			name := c.name
			if isForwarded {
				name += ", forwarded"
			}
			t.Run(name, func(t *testing.T) {
				var arrived atomic.Int32
				e := listen(t, func(_ int, conn net.Conn, r *bufio.Reader) {
					for {
						q, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, q.Body)
						if q.Header.Get("Breaks") != "" {
							arrived.Add(1)
							return
						}
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+q.Header.Get("Wants")+"\r\nContent-Length: 2\r\n\r\nok")
					}
				})
				send := sendTo(t, e, isForwarded)
				// Several kept connections, each of which a repeat could take.
				var kept []*Reply
				for _, id := range []string{"first", "second", "third"} {
					r, err := send(wanting(id))
					require.NoError(t, err)
					kept = append(kept, r)
				}
				for _, r := range kept {
					readBody(t, r)
				}
				time.Sleep(20 * time.Millisecond)
				q := Request{ID: "1", Method: c.method, Target: "/x", Host: "h.example", Header: http.Header{"Breaks": {"1"}}, Body: c.body}
				if c.header != "" {
					q.Header.Set(c.header, "k")
				}
				_, err := send(q)
				var f *Error
				require.ErrorAs(t, err, &f)
				assert.True(t, f.MayHaveRun)
				assert.Equal(t, int32(1), arrived.Load())
			})
		}
	}
}

// sendTo returns a function that sends requests to an endpoint, or forwards them.
func sendTo(t *testing.T, e tlendpoint.Endpoint, isForwarded bool) func(Request) (*Reply, error) {
	if !isForwarded {
		s := newSender(t)
		return func(q Request) (*Reply, error) { return s.Send(context.Background(), e, q, tlcall.Send{}) }
	}
	f := NewForwarder(codec.DecodeAnswer)
	t.Cleanup(f.Close)
	address := netip.MustParseAddrPort(e.Address.String())
	return func(q Request) (*Reply, error) { return f.Send(context.Background(), "b", address, "/forward", q) }
}
