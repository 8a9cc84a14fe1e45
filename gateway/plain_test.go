package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/platform/tlstand"
)

func TestPlainRequestIsForwardedUnchanged(t *testing.T) {
	w := newTestCluster(t)
	e := w.startPlainEndpoint("e1")
	i := w.startInstance("a")
	c := onceCall("id-1")
	c.Header = tlstand.ForgedHeaders()
	c.Header.Set("X-Own", "kept")
	c.Header.Set("Connection", "X-Hop")
	c.Header.Set("X-Hop", "1")
	a := w.call(i, c)
	assert.Equal(t, http.StatusOK, a.status)
	assert.Equal(t, "answer of e1", a.body)
	assert.Equal(t, "seal-e1", a.seal)
	got := e.Arrivals()
	require.Len(t, got, 1)
	assert.Equal(t, "id-1", got[0].ID)
	assert.Equal(t, "/pay/x?y=%2f", got[0].RequestURI)
	assert.Equal(t, "pay", got[0].Body)
	assert.Equal(t, "kept", got[0].Header.Get("X-Own"))
	assert.Empty(t, got[0].Header.Get("X-Hop"))
	assert.Equal(t, "e1", got[0].TargetEndpoint)
	for name, values := range tlstand.ForgedHeaders() {
		assert.NotEqual(t, values[0], got[0].Header.Get(name), name)
	}
	assert.NotEmpty(t, got[0].Deadline)
}

func TestAtMostOnceRequestIsRetriedOnlyIfItDidNotRun(t *testing.T) {
	cases := []struct {
		name   string
		before func(e *tlstand.Endpoint) func(http.ResponseWriter, *http.Request, *tlstand.Arrival) bool
		status int
		runs   int
	}{
		{"1 shed before it runs", func(*tlstand.Endpoint) func(http.ResponseWriter, *http.Request, *tlstand.Arrival) bool {
			return func(w http.ResponseWriter, _ *http.Request, _ *tlstand.Arrival) bool {
				tlstand.RespondNotRun(w)
				return true
			}
		}, http.StatusOK, 1},
		{"2 run, connection broken", func(e *tlstand.Endpoint) func(http.ResponseWriter, *http.Request, *tlstand.Arrival) bool {
			return func(_ http.ResponseWriter, _ *http.Request, a *tlstand.Arrival) bool {
				e.MarkRan(a)
				panic(http.ErrAbortHandler)
			}
		}, http.StatusBadGateway, 1},
		{"3 run, answer to another request", func(e *tlstand.Endpoint) func(http.ResponseWriter, *http.Request, *tlstand.Arrival) bool {
			return func(w http.ResponseWriter, _ *http.Request, a *tlstand.Arrival) bool {
				e.MarkRan(a)
				tlstand.SetAttemptID(w, "other")
				return true
			}
		}, http.StatusBadGateway, 1},
		{"4 run, answer truncated", func(e *tlstand.Endpoint) func(http.ResponseWriter, *http.Request, *tlstand.Arrival) bool {
			return func(w http.ResponseWriter, _ *http.Request, a *tlstand.Arrival) bool {
				e.MarkRan(a)
				w.Header().Set("Content-Length", "100")
				fmt.Fprint(w, "short")
				return true
			}
		}, http.StatusBadGateway, 1},
		{"5 run, no answer", func(e *tlstand.Endpoint) func(http.ResponseWriter, *http.Request, *tlstand.Arrival) bool {
			return func(_ http.ResponseWriter, r *http.Request, a *tlstand.Arrival) bool {
				e.MarkRan(a)
				<-r.Context().Done()
				return true
			}
		}, http.StatusGatewayTimeout, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newTestCluster(t)
			e1, e2 := w.startPlainEndpoint("e1"), w.startPlainEndpoint("e2")
			e1.Intercept, e2.Intercept = onFirstArrival(c.before(e1), e1, e2), nil
			e2.Intercept = e1.Intercept
			i := w.startInstance("a")
			q := onceCall("id-1")
			q.Deadline = 500 * time.Millisecond
			a := w.call(i, q)
			assert.Equal(t, c.status, a.status, a.body)
			assert.Equal(t, c.runs, runs("id-1", e1, e2))
			if c.status != http.StatusOK {
				assert.Empty(t, a.seal)
				assert.Equal(t, "MayHaveRun", a.header.Get("Trefoil-Verdict"))
			}
		})
	}
}

// onFirstArrival makes the endpoint that gets the first request run f; later requests are answered normally.
func onFirstArrival(f func(http.ResponseWriter, *http.Request, *tlstand.Arrival) bool, all ...*tlstand.Endpoint) func(http.ResponseWriter, *http.Request, *tlstand.Arrival) bool {
	return func(w http.ResponseWriter, r *http.Request, a *tlstand.Arrival) bool {
		n := 0
		for _, e := range all {
			n += len(e.Arrivals())
		}
		return n == 1 && f(w, r, a)
	}
}

func TestRepeatableRequestIsRetriedAtAnotherEndpoint(t *testing.T) {
	w := newTestCluster(t)
	e1, e2 := w.startPlainEndpoint("e1"), w.startPlainEndpoint("e2")
	broken := onFirstArrival(func(http.ResponseWriter, *http.Request, *tlstand.Arrival) bool { panic(http.ErrAbortHandler) }, e1, e2)
	e1.Intercept, e2.Intercept = broken, broken
	i := w.startInstance("a")
	a := w.call(i, repeatableCall("id-1"))
	assert.Equal(t, http.StatusOK, a.status)
	assert.Equal(t, 2, len(e1.Arrivals())+len(e2.Arrivals()))
}

// Guards against an answer that is taken for cut short since its length is that of the body
// that a GET would have.
func TestHeadIsAnsweredByOneRun(t *testing.T) {
	for _, isFramed := range []bool{true, false} {
		t.Run(fmt.Sprint("with a length ", isFramed), func(t *testing.T) {
			w := newTestCluster(t)
			e1, e2 := w.startPlainEndpoint("e1"), w.startPlainEndpoint("e2")
			for _, e := range []*tlstand.Endpoint{e1, e2} {
				e.Intercept = func(w http.ResponseWriter, _ *http.Request, a *tlstand.Arrival) bool {
					e.MarkRan(a)
					tlstand.SetSeal(w.Header())
					if isFramed {
						w.Header().Set("Content-Length", "12")
					}
					w.WriteHeader(http.StatusOK)
					return true
				}
			}
			c := repeatableCall("id-1")
			c.Method = http.MethodHead
			a := w.call(w.startInstance("a"), c)
			assert.Equal(t, http.StatusOK, a.status)
			assert.Equal(t, 1, len(e1.Arrivals())+len(e2.Arrivals()))
			if isFramed {
				assert.Equal(t, "12", a.header.Get("Content-Length"))
			}
		})
	}
}

func TestSlowRepeatableRequestIsHedged(t *testing.T) {
	w := newTestCluster(t)
	e1, e2 := w.startPlainEndpoint("e1"), w.startPlainEndpoint("e2")
	slow := onFirstArrival(func(_ http.ResponseWriter, r *http.Request, _ *tlstand.Arrival) bool {
		<-r.Context().Done()
		return true
	}, e1, e2)
	e1.Intercept, e2.Intercept = slow, slow
	i := w.startInstance("a")
	began := time.Now()
	a := w.call(i, repeatableCall("id-1"))
	assert.Equal(t, http.StatusOK, a.status)
	assert.Less(t, time.Since(began), 1500*time.Millisecond, "well before the deadline of 2 s")
}

func TestAnEndpointsOwnFailureIsPassedOnWithItsSeal(t *testing.T) {
	w := newTestCluster(t)
	e := w.startPlainEndpoint("e1")
	e.Intercept = func(w http.ResponseWriter, _ *http.Request, a *tlstand.Arrival) bool {
		e.MarkRan(a)
		tlstand.RespondSealed(w, http.StatusInternalServerError, "seal-500")
		return true
	}
	a := w.call(w.startInstance("a"), onceCall("id-1"))
	assert.Equal(t, http.StatusInternalServerError, a.status)
	assert.Equal(t, "seal-500", a.seal)
}

func TestUnservableRequestsAreRefusedAtOnce(t *testing.T) {
	w := newTestCluster(t)
	i := w.startInstance("a")
	cases := []struct {
		name   string
		call   tlstand.Call
		status int
	}{
		{"1 unknown host", tlstand.Call{ID: "1", Method: "GET", Host: "b.example", Path: tlstand.IdempotentPath + "x"}, http.StatusNotFound},
		{"2 unknown path", tlstand.Call{ID: "2", Method: "GET", Path: "/none/x"}, http.StatusNotFound},
		{"3 path that cleans to a route", tlstand.Call{ID: "3", Method: "GET", Path: "/none/../stock/x"}, http.StatusNotFound},
		{"4 no endpoint", repeatableCall("4"), http.StatusServiceUnavailable},
		{"5 no engine", streamCall("5", tlstand.StreamPath), http.StatusServiceUnavailable},
		{"6 no id", tlstand.Call{Method: "GET", Path: tlstand.IdempotentPath + "x"}, http.StatusBadRequest},
		{"7 body too large", tlstand.Call{ID: "7", Method: "POST", Path: tlstand.AtMostOncePath + "x", Body: string(make([]byte, 70_000))}, http.StatusRequestEntityTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := w.call(i, c.call)
			assert.Equal(t, c.status, a.status, a.body)
			assert.Equal(t, "NotRun", a.header.Get("Trefoil-Verdict"))
			if c.status == http.StatusServiceUnavailable {
				assert.NotEmpty(t, a.header.Get("Retry-After"))
			}
		})
	}
}

func TestSmuggledAndTruncatedRequestsReachNoEndpoint(t *testing.T) {
	start := "POST /pay/x HTTP/1.1\r\nHost: a.example\r\n"
	head := start + tlstand.AttemptIDHeaderLine("outer")
	inner := start + tlstand.AttemptIDHeaderLine("inner") + "Content-Length: 0\r\n\r\n"
	cases := []struct{ name, raw string }{
		{"1 two lengths", head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\npay" + inner},
		{"2 truncated body", head + "Content-Length: 30\r\n\r\npay"},
		{"3 truncated chunk", head + "Transfer-Encoding: chunked\r\n\r\n5\r\npay"},
		{"4 unknown coding", head + "Transfer-Encoding: xchunked\r\n\r\n" + inner},
		{"5 space before the colon", head + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n"},
	}
	w := newTestCluster(t)
	e := w.startPlainEndpoint("e1")
	i := w.startInstance("a")
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n, err := net.Dial("tcp", i.settings.Listen.String())
			require.NoError(t, err)
			defer n.Close()
			_, err = n.Write([]byte(c.raw))
			require.NoError(t, err)
			require.NoError(t, n.(*net.TCPConn).CloseWrite())
			require.NoError(t, n.SetReadDeadline(time.Now().Add(testTimeout)))
			if r, err := http.ReadResponse(bufio.NewReader(n), nil); err == nil {
				assert.GreaterOrEqual(t, r.StatusCode, 400)
				_ = r.Body.Close()
			}
		})
	}
	assert.Empty(t, e.Arrivals())
}

// Guards against a request whose time is over being sent without a deadline.
func TestRequestWithoutTimeLeftIsNotSent(t *testing.T) {
	w := newTestCluster(t)
	e := w.startPlainEndpoint("e1")
	c := onceCall("id-1")
	c.Deadline = 9 * time.Millisecond
	a := w.call(w.startInstance("a"), c)
	assert.Equal(t, http.StatusTooManyRequests, a.status)
	assert.Equal(t, "NotRun", a.header.Get("Trefoil-Verdict"))
	assert.Empty(t, e.Arrivals())
}
