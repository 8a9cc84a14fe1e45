package tlplain

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"trefoillanding/core/tlclaim"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlledger"
	"trefoillanding/io/tlplatform"
	"trefoillanding/io/tlstandin"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent())
}

// site is a platform and any number of callers that share its log.
type site struct {
	t        *testing.T
	platform *tlstandin.Platform
	address  netip.AddrPort
	nonce    atomic.Uint64
	leaving  sync.Map
}

func newSite(t *testing.T) *site {
	p := tlstandin.NewPlatform(tlstandin.NewPlatformLimits())
	s, err := tlstandin.Listen(tlstandin.AnyPort, p)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return &site{t: t, platform: p, address: s.Address()}
}

func nothing(string, int64) {}

func (s *site) caller() *Caller {
	client := tlplatform.New(s.address, 500*time.Millisecond)
	home := tlledger.NewHome(tlledger.HomeOptions{
		Log:              tlledger.Log{Append: client.Append, Read: client.Read, Count: nothing},
		Streams:          2,
		AppendsPerSecond: 200,
		BatchDelay:       time.Millisecond,
		Resolve:          400 * time.Millisecond,
		Idle:             time.Minute,
		Now:              time.Now,
	})
	ledger := tlledger.NewLedger(tlledger.LedgerOptions{
		Streams:        2,
		DefaultTimeout: 2 * time.Second,
		HomeOf:         func(int) string { return "self" },
		Claim: func(ctx context.Context, _ string, c tlwire.ClaimCall) (tlwire.ClaimAnswer, error) {
			return home.Claim(ctx, c), nil
		},
		Note: func(ctx context.Context, _ string, n tlwire.ClaimNote) (tlwire.ClaimNoteAnswer, error) {
			return home.Note(ctx, n)
		},
		Nonce: func() uint64 { return s.nonce.Add(1) },
		Count: nothing,
	})
	c := New(Options{
		DataCentre: "izmir",
		Leaving: func(e string) bool {
			_, ok := s.leaving.Load(e)
			return ok
		},
		Ledger: Ledger{Claim: ledger.Claim, Outcome: ledger.Outcome, Release: ledger.Release},
		Now:    time.Now,
		Count:  func(string) {},
	})
	s.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		ledger.Close(ctx)
		home.Close()
		client.Close()
		c.Close()
	})
	return c
}

func (s *site) endpoint(name string) (*tlstandin.Plain, tlwire.PlainEndpoint) {
	p := tlstandin.NewPlain(name)
	v, err := tlstandin.Listen(tlstandin.AnyPort, p)
	require.NoError(s.t, err)
	s.t.Cleanup(v.Close)
	return p, tlwire.PlainEndpoint{Name: name, Address: v.Address(), DataCentre: "izmir"}
}

func desk(e ...tlwire.PlainEndpoint) tlwire.Service {
	return tlwire.Service{
		Name:      "order-desk",
		Kind:      tlwire.ServiceKindPlain,
		Bounds:    &tlwire.Bounds{CallTimeout: 300 * time.Millisecond, AnswerBytes: 1000},
		Calls:     []tlwire.Call{{Method: "POST", Path: "/payments"}, {Method: "GET", Path: "/stock/{item}", Repeatable: true}},
		Endpoints: e,
	}
}

func payment(key, body string) Call {
	return Call{Method: "POST", Path: "/payments", Header: http.Header{keyHeader: {key}}, Body: []byte(body)}
}

func TestPaymentRunsOnceHoweverOftenItIsSent(t *testing.T) {
	s := newSite(t)
	p, e := s.endpoint("order-desk-1")
	callers := []*Caller{s.caller(), s.caller(), s.caller()}
	var answers sync.Map
	var all sync.WaitGroup
	for i := range 30 {
		all.Go(func() {
			a, err := callers[i%3].Do(context.Background(), desk(e), payment("pay-17", "{}"))
			assert.NoError(t, err)
			answers.Store(string(a.Body), true)
		})
	}
	all.Wait()
	assert.Equal(t, 1, p.Runs("pay-17"))
	n := 0
	answers.Range(func(any, any) bool { n++; return true })
	assert.Equal(t, 1, n, "every caller gets the same answer")
	_, err := callers[0].Do(context.Background(), desk(e), payment("pay-17", "{other}"))
	assert.Equal(t, tlverdict.KeyReused, tlverdict.Of(err).Reason)
	_, err = callers[0].Do(context.Background(), desk(e), Call{Method: "POST", Path: "/payments"})
	assert.Equal(t, tlverdict.MissingKey, tlverdict.Of(err).Reason)
}

// rude is an endpoint that answers each request as a test says, after it read it whole.
type rude struct {
	listener net.Listener
	requests atomic.Int64
	done     sync.WaitGroup
}

func newRude(t *testing.T, answer func(n int64, c net.Conn)) *rude {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &rude{listener: l}
	r.done.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.done.Go(func() { r.serve(c, answer) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		r.done.Wait()
	})
	return r
}

func (r *rude) serve(c net.Conn, answer func(int64, net.Conn)) {
	defer func() { _ = c.Close() }()
	b := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		answer(r.requests.Add(1), c)
	}
}

func (r *rude) endpoint() tlwire.PlainEndpoint {
	return tlwire.PlainEndpoint{Name: "rude", Address: netip.MustParseAddrPort(r.listener.Addr().String()), DataCentre: "izmir"}
}

func say(status, header string) func(int64, net.Conn) {
	return func(_ int64, c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: 2\r\n\r\nok", status, header)
	}
}

func drop(_ int64, c net.Conn) {
	_ = c.Close()
}

func dropSecond(n int64, c net.Conn) {
	if n == 1 {
		say("200 OK", "")(n, c)
		return
	}
	drop(n, c)
}

func stallAnswer(_ int64, c net.Conn) {
	_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
	_, _ = io.Copy(io.Discard, c)
}

func TestRudeEndpointsGetEachCallOnce(t *testing.T) {
	cases := []struct {
		name   string
		answer func(int64, net.Conn)
		warm   bool
		body   string
		status int
		reason tlverdict.Reason
	}{
		{"1 drops the connection", drop, false, "{}", 0, tlverdict.EndpointFailed},
		{"2 drops, no body", drop, false, "", 0, tlverdict.EndpointFailed},
		{"3 drops a connection that was used before", dropSecond, true, "{}", 0, tlverdict.EndpointFailed},
		{"4 the same, no body", dropSecond, true, "", 0, tlverdict.EndpointFailed},
		{"5 redirects", say("307 Temporary Redirect", "Location: /payments\r\n"), false, "{}", 307, ""},
		{"6 redirects, no body", say("307 Temporary Redirect", "Location: /payments\r\n"), false, "", 307, ""},
		{"7 stalls in its answer", stallAnswer, false, "{}", 0, tlverdict.EndpointTimeout},
		{"8 never answers", func(_ int64, c net.Conn) { _, _ = io.Copy(io.Discard, c) }, false, "", 0, tlverdict.EndpointTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRude(t, c.answer)
			s := newSite(t)
			caller := s.caller()
			before := int64(0)
			if c.warm {
				_, err := caller.Do(context.Background(), desk(r.endpoint()), Call{Method: "GET", Path: "/stock/x"})
				require.NoError(t, err)
				before = 1
			}
			for try := range 2 {
				a, err := caller.Do(context.Background(), desk(r.endpoint()), payment("pay-17", c.body))
				if c.reason == "" {
					require.NoError(t, err)
					assert.Equal(t, c.status, a.Status)
					continue
				}
				require.Error(t, err)
				assert.Equal(t, tlwire.VerdictMayHaveRun, tlverdict.Of(err).Verdict)
				if try == 0 {
					assert.Equal(t, c.reason, tlverdict.Of(err).Reason)
				}
			}
			assert.Equal(t, int64(1), r.requests.Load()-before)
		})
	}
}

func TestUnsentCallGoesToTheNextEndpoint(t *testing.T) {
	s := newSite(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	dead := tlwire.PlainEndpoint{Name: "dead", Address: netip.MustParseAddrPort(l.Addr().String()), DataCentre: "izmir"}
	require.NoError(t, l.Close())
	leaving := newRude(t, say("503 Service Unavailable", "Draining: true\r\n"))
	p, far := s.endpoint("far")
	far.DataCentre = "bodrum"
	c := s.caller()
	a, err := c.Do(context.Background(), desk(dead, leaving.endpoint(), far), payment("pay-1", "{}"))
	require.NoError(t, err)
	assert.Equal(t, 201, a.Status)
	assert.Equal(t, 1, p.Runs("pay-1"))
	_, err = c.Do(context.Background(), desk(dead), payment("pay-2", "{}"))
	assert.Equal(t, tlverdict.NoEndpoint, tlverdict.Of(err).Reason)
	require.Eventually(t, func() bool {
		_, err = c.Do(context.Background(), desk(far), payment("pay-2", "{}"))
		return err == nil
	}, 2*time.Second, 10*time.Millisecond, "a released key may be used again")
	assert.Equal(t, 1, p.Runs("pay-2"))
	s.leaving.Store("far", true)
	_, err = c.Do(context.Background(), desk(far), payment("pay-3", "{}"))
	assert.Equal(t, tlverdict.NoEndpoint, tlverdict.Of(err).Reason)
	assert.Equal(t, 0, p.Runs("pay-3"))
}

func TestLongAnswerIsNotKept(t *testing.T) {
	s := newSite(t)
	_, e := s.endpoint("order-desk-1")
	d := desk(e)
	d.Bounds.AnswerBytes = 5
	c := s.caller()
	a, err := c.Do(context.Background(), d, payment("pay-1", "{}"))
	require.NoError(t, err)
	assert.Greater(t, len(a.Body), 5)
	_, err = c.Do(context.Background(), d, payment("pay-1", "{}"))
	assert.Equal(t, tlverdict.AnswerNotKept, tlverdict.Of(err).Reason)
	assert.Equal(t, tlwire.VerdictRan, tlverdict.Of(err).Verdict)
}

func TestOutageRefusesNotRunAndKnownKeysStayKnown(t *testing.T) {
	s := newSite(t)
	p, e := s.endpoint("order-desk-1")
	c := s.caller()
	_, err := c.Do(context.Background(), desk(e), payment("pay-1", "{}"))
	require.NoError(t, err)
	_, err = c.Do(context.Background(), desk(e), payment("pay-1", "{}"))
	require.NoError(t, err)
	s.platform.Faults().Set(tlwire.Faults{Outage: true})
	_, err = c.Do(context.Background(), desk(e), payment("pay-1", "{}"))
	require.NoError(t, err, "a stored answer needs no log")
	_, err = c.Do(context.Background(), desk(e), payment("pay-2", "{}"))
	if tlverdict.Of(err).Reason != tlverdict.LogBehind {
		assert.Equal(t, tlverdict.LogUnavailable, tlverdict.Of(err).Reason)
	}
	assert.True(t, tlverdict.NotRun(err))
	s.platform.Faults().Set(tlwire.Faults{})
	require.Eventually(t, func() bool {
		_, err = c.Do(context.Background(), desk(e), payment("pay-2", "{}"))
		return err == nil
	}, 3*time.Second, 20*time.Millisecond)
	assert.Equal(t, 1, p.Runs("pay-2"))
	assert.Equal(t, 1, p.Runs("pay-1"))
}

func TestRules(t *testing.T) {
	rules := desk().Calls
	assert.True(t, repeatable(rules, "GET", "/stock/crab"))
	for _, c := range [][2]string{{"POST", "/payments"}, {"GET", "/stock"}, {"GET", "/stock/"}, {"GET", "/stock/a/b"}, {"PUT", "/stock/crab"}} {
		assert.False(t, repeatable(rules, c[0], c[1]), c)
	}
	for _, p := range []string{"/../x", "/a/%2E%2e/x", "x", "/a/.."} {
		assert.False(t, isClean(p), p)
	}
	assert.NotEqual(t, digest(payment("k", "a")), digest(payment("k", "b")))
	assert.Len(t, tlclaim.Digest{}, 16)
}

// The same check with kept connections must fail, or it would prove nothing.
func TestKeptConnectionsWouldRepeatACall(t *testing.T) {
	r := newRude(t, dropSecond)
	s := newSite(t)
	caller := s.caller()
	caller.fresh = caller.kept
	_, err := caller.Do(context.Background(), desk(r.endpoint()), Call{Method: "GET", Path: "/stock/x"})
	require.NoError(t, err)
	_, err = caller.Do(context.Background(), desk(r.endpoint()), payment("pay-17", ""))
	require.Error(t, err)
	assert.Greater(t, r.requests.Load()-1, int64(1))
}
