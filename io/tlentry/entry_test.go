package tlentry

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlconfig"
	"trefoillanding/core/tleventid"
	"trefoillanding/core/tlsettings"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlmetric"
	"trefoillanding/io/tlrelay"
)

// testAddress is the listening address of test servers; Listen does not report the port
// it has bound, so it is fixed.
var testAddress = netip.MustParseAddrPort("127.0.0.1:18190")

func newTestEntry() *Entry {
	s := tlsettings.Default()
	s.Limits.BodyBytes, s.Limits.HeaderBytes = 2000, 1000
	s.Limits.BodyTimeout = 200 * time.Millisecond
	c := tlconfig.New(tlwire.Config{Services: []tlwire.Service{
		{
			Name:    "kiosk-llm",
			Kind:    tlwire.ServiceKindCompletions,
			Models:  []tlwire.Model{{Name: "kiosk"}},
			Targets: &tlwire.Targets{},
			Bounds:  &tlwire.Bounds{MaxTokens: 10, PromptTokens: 100},
		},
		{Name: "order-desk", Kind: tlwire.ServiceKindPlain},
	}})
	m := tlmetric.New()
	signer := tleventid.New([]string{"key"})
	return New(Deps{
		Settings: s,
		Config:   func() (uint64, *tlconfig.Config) { return 7, c },
		Relay: tlrelay.New(tlrelay.Deps{
			Pools:   func(tlrelay.Request) []tlwire.Pool { return nil },
			Now:     time.Now,
			Signer:  signer,
			Metrics: m,
		}),
		Plain: func(context.Context, tlwire.Service, PlainCall) (PlainAnswer, error) {
			panic("a bug")
		},
		Entries:  func(string) tlwire.Entries { return tlwire.Entries{} },
		Draining: func() bool { return false },
		Operator: http.NotFoundHandler(),
		Signer:   signer,
		NewID:    func() string { return "r1" },
		Now:      time.Now,
		Metrics:  m,
	})
}

func testEntry(t *testing.T) (*Entry, string) {
	t.Helper()
	e := newTestEntry()
	server, err := Listen(e, testAddress, nil)
	require.NoError(t, err)
	// The next test uses the same address and must not reuse connections to this server.
	t.Cleanup(func() {
		_ = server.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return e, "http://" + testAddress.String()
}

func TestEveryRefusalHasItsVerdict(t *testing.T) {
	e, base := testEntry(t)
	long := strings.Repeat("x", 3000)
	cases := []struct {
		name, method, path, header, body string
		status                           int
		verdict, reason                  string
	}{
		{"unknown path", "GET", "/nothing", "", "", 404, "NotRun", "UnknownPath"},
		{"path not normalised", "POST", "/v1/services/order-desk//payments", "", "", 404, "NotRun", "UnknownPath"},
		{"method not allowed", "DELETE", "/v1/completions", "", "", 405, "NotRun", "UnknownMethod"},
		{"body is not JSON", "POST", "/v1/completions", "", "{", 400, "NotRun", "BadBody"},
		{"field of the wrong type", "POST", "/v1/completions", "", `{"model":3}`, 400, "NotRun", "BadBody"},
		{"body too large", "POST", "/v1/completions", "", long, 413, "NotRun", "BodyTooLarge"},
		{"header too large", "GET", "/healthz", long, "", 400, "NotRun", "HeaderTooLarge"},
		{"header larger than a library's usual limit", "GET", "/healthz", strings.Repeat("x", 2<<20), "", 400, "NotRun", "HeaderTooLarge"},
		{"unknown model", "POST", "/v1/completions", "", `{"model":"x","prompt":"p"}`, 404, "NotRun", "UnknownModel"},
		{"plain service as model", "POST", "/v1/completions", "", `{"model":"order-desk","prompt":"p"}`, 404, "NotRun", "UnknownModel"},
		{"no prompt", "POST", "/v1/completions", "", `{"model":"kiosk"}`, 400, "NotRun", "BadBody"},
		{"negative length", "POST", "/v1/completions", "", `{"model":"kiosk","prompt":"p","max_tokens":-1}`, 400, "NotRun", "BadBody"},
		{"prompt too long", "POST", "/v1/completions", "", `{"model":"kiosk","prompt":"` + long[:1000] + `"}`, 413, "NotRun", "PromptTooLong"},
		{"no pool", "POST", "/v1/completions", "", `{"model":"kiosk","prompt":"p"}`, 503, "NotRun", "NoEndpoint"},
		{"no pool, streamed", "POST", "/v1/completions", "", `{"model":"kiosk","prompt":"p","stream":true}`, 503, "NotRun", "NoEndpoint"},
		{"unknown service", "GET", "/v1/services/x/y", "", "", 404, "NotRun", "UnknownService"},
		{"entries of an unknown service", "GET", "/v1/entries?Service=x", "", "", 404, "NotRun", "UnknownService"},
		{"panic in a handler", "POST", "/v1/services/order-desk/payments", "", "", 502, "MayHaveRun", "Internal"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before := e.refusals.Value(c.reason)
			q, err := http.NewRequest(c.method, base+c.path, strings.NewReader(c.body))
			require.NoError(t, err)
			q.Header.Set("X-Filler", c.header)
			res, err := http.DefaultClient.Do(q)
			require.NoError(t, err)
			defer res.Body.Close()
			var v tlwire.Refusal
			require.NoError(t, json.NewDecoder(res.Body).Decode(&v))
			assert.Equal(t, c.status, res.StatusCode)
			assert.Equal(t, c.verdict, res.Header.Get(VerdictHeader))
			assert.Equal(t, c.verdict, string(v.Verdict))
			assert.Equal(t, c.reason, v.Reason)
			assert.Equal(t, before+1, e.refusals.Value(c.reason))
		})
	}
}

func TestSlowBodyIsRefused(t *testing.T) {
	_, base := testEntry(t)
	in, out := io.Pipe()
	defer out.Close()
	go func() { _, _ = out.Write([]byte(`{"model":`)) }()
	res, err := http.Post(base+"/v1/completions", "application/json", in)
	require.NoError(t, err)
	defer res.Body.Close()
	assert.Equal(t, http.StatusBadRequest, res.StatusCode)
	assert.Equal(t, "NotRun", res.Header.Get(VerdictHeader))
}

func TestAddressInUseIsError(t *testing.T) {
	e, _ := testEntry(t)
	_, err := Listen(e, testAddress, nil)
	assert.ErrorContains(t, err, "in use")
}

// A header that is not complete in time is no request: the connection is closed without an answer.
func TestSlowHeaderIsCutOff(t *testing.T) {
	e := newTestEntry()
	e.deps.Settings.Limits.HeaderTimeout = 200 * time.Millisecond
	server, err := Listen(e, testAddress, nil)
	require.NoError(t, err)
	defer server.Close()
	c, err := net.Dial("tcp", testAddress.String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n")
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	b, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Empty(t, b)
}
