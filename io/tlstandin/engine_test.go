package tlstandin_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlstandin"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// The same order of events every run, unless a seed is given.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	goleak.VerifyTestMain(m)
}

func fast() tlstandin.Behaviour {
	b := tlstandin.NewBehaviour()
	b.TokenEvery = time.Millisecond
	return b
}

func deploy(t *testing.T, b tlstandin.Behaviour) *tlstandin.Deployment {
	c := tlwire.Config{
		Services: []tlwire.Service{
			{Name: "kiosk-llm", Kind: tlwire.ServiceKindCompletions, Models: []tlwire.Model{{Name: "menu", Version: "1"}}},
			{Name: "order-desk", Kind: tlwire.ServiceKindPlain, Endpoints: []tlwire.PlainEndpoint{
				{Name: "desk-1", DataCentre: "izmir", Address: tlstandin.AnyPort},
			}},
		},
		Pools: []tlwire.Pool{{
			Name: "izmir-kiosk", Service: "kiosk-llm", DataCentre: "izmir",
			Engines: []tlwire.Engine{
				{Name: "p1", Address: tlstandin.AnyPort, Role: tlwire.RolePrefill},
				{Name: "d1", Address: tlstandin.AnyPort, Role: tlwire.RoleDecode, ChecksFencing: true},
			},
		}},
	}
	d, err := tlstandin.NewDeployment(c, tlstandin.AnyPort, nil, b)
	require.NoError(t, err)
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		d.Close()
	})
	return d
}

func call[T any](t *testing.T, method string, a netip.AddrPort, path string, body any) (int, T) {
	b, err := json.Marshal(body)
	require.NoError(t, err)
	r, err := http.NewRequest(method, "http://"+a.String()+path, bytes.NewReader(b))
	require.NoError(t, err)
	w, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer w.Body.Close()
	var v T
	if w.StatusCode < http.StatusBadRequest && w.StatusCode != http.StatusNoContent {
		require.NoError(t, json.NewDecoder(bufio.NewReader(w.Body)).Decode(&v))
	}
	return w.StatusCode, v
}

func lines(t *testing.T, a netip.AddrPort, path string, body any) []string {
	b, err := json.Marshal(body)
	require.NoError(t, err)
	w, err := http.Post("http://"+a.String()+path, "application/json", bytes.NewReader(b))
	require.NoError(t, err)
	defer w.Body.Close()
	require.Equal(t, http.StatusOK, w.StatusCode)
	var l []string
	s := bufio.NewScanner(w.Body)
	for s.Scan() {
		l = append(l, s.Text())
	}
	return l
}

func decodeFrom(t *testing.T, d *tlstandin.Deployment, attempt, prompt string, delivered, maxTokens int) string {
	a := d.Servers()
	text := prompt + tlstandin.Answer(prompt, 0, delivered)
	_, p := call[tlwire.PrefillResult](t, "POST", a["p1"], "/engine/prefills",
		tlwire.PrefillRequest{Attempt: attempt, Model: "menu", Prompt: text})
	l := lines(t, a["d1"], "/engine/imports", tlwire.ImportRequest{
		Attempt: attempt, Source: a["p1"], Handle: p.Handle, Tokens: p.Tokens, MaxTokens: maxTokens, Pieces: 1,
	})
	require.Contains(t, l[len(l)-1], `"Done":true`)
	var answer strings.Builder
	for i, x := range lines(t, a["d1"], "/engine/streams", tlwire.DecodeRequest{
		Attempt: attempt, Stream: attempt, FirstIndex: delivered, MaxTokens: maxTokens,
	}) {
		var v tlwire.TokenEvent
		require.NoError(t, json.Unmarshal([]byte(x), &v))
		require.Equal(t, delivered+i, v.Index)
		answer.WriteString(v.Text)
	}
	return answer.String()
}

func TestAnswerGoesOnAfterDeliveredTokens(t *testing.T) {
	d := deploy(t, fast())
	for i, c := range []struct{ delivered, max, ends int }{
		{0, 100, 40}, {1, 100, 40}, {17, 100, 40}, {17, 30, 30}, {40, 100, 40},
	} {
		prompt := "menu of the day answer=40"
		got := decodeFrom(t, d, fmt.Sprintf("a%d", i), prompt, c.delivered, c.max)
		require.Equal(t, tlstandin.Answer(prompt, c.delivered, c.ends), got)
	}
	require.Eventually(t, func() bool { return d.PiecesHeld() == 0 }, 2*time.Second, 5*time.Millisecond)
}

func TestCancelOvertakesItsAttempt(t *testing.T) {
	d := deploy(t, fast())
	a := d.Servers()["p1"]
	_, c := call[tlwire.CancelResult](t, "DELETE", a, "/engine/attempts/early", nil)
	require.Equal(t, "early", c.Attempt)
	status, _ := call[tlwire.PrefillResult](t, "POST", a, "/engine/prefills",
		tlwire.PrefillRequest{Attempt: "early", Model: "menu", Prompt: "x"})
	require.Equal(t, http.StatusConflict, status)
}

func TestOrdersAreFenced(t *testing.T) {
	d := deploy(t, fast())
	a := d.Servers()["d1"]
	for _, c := range []struct {
		number uint64
		ignore bool
		status int
	}{{7, false, 204}, {7, false, 204}, {6, false, 409}, {6, true, 204}, {8, false, 204}} {
		d.Engines["d1"].Faults().Set(tlwire.Faults{IgnoreFencing: c.ignore})
		status, _ := call[struct{}](t, "POST", a, "/engine/orders",
			tlwire.Order{Kind: tlwire.OrderKindLoadModel, Model: "m", Version: "2", FencingNumber: c.number})
		require.Equal(t, c.status, status)
	}
}

func TestPlainCallsAreCounted(t *testing.T) {
	d := deploy(t, fast())
	a := d.Servers()["desk-1"]
	status, _ := call[struct{}](t, "POST", a, "/payments", map[string]string{"Reference": "fish-1"})
	require.Equal(t, http.StatusCreated, status)
	d.Plains["desk-1"].Faults().Set(tlwire.Faults{LoseShare: 1})
	_, err := http.Post("http://"+a.String()+"/payments", "application/json", strings.NewReader(`{"Reference":"fish-2"}`))
	require.Error(t, err)
	require.Equal(t, 1, d.Runs("fish-1"))
	require.Equal(t, 1, d.Runs("fish-2"))
}

func TestLogKeepsOrderAndForgets(t *testing.T) {
	l := tlstandin.NewPlatformLimits()
	l.KeepRecords = 3
	s, err := tlstandin.Listen(tlstandin.AnyPort, tlstandin.NewPlatform(l))
	require.NoError(t, err)
	defer s.Close()
	defer http.DefaultClient.CloseIdleConnections()
	for i := range 5 {
		_, v := call[tlwire.AppendResult](t, "POST", s.Address(), "/log/s/records",
			tlwire.AppendRequest{Records: [][]byte{{byte(i)}}})
		require.Equal(t, uint64(i+1), v.FirstOffset)
	}
	status, _ := call[tlwire.ReadResult](t, "GET", s.Address(), "/log/s/records?From=2", nil)
	require.Equal(t, http.StatusGone, status)
	_, v := call[tlwire.ReadResult](t, "GET", s.Address(), "/log/s/records?From=3&Limit=2&Wait=1s", nil)
	require.Len(t, v.Records, 2)
	require.Equal(t, uint64(6), v.Next)
	_, v = call[tlwire.ReadResult](t, "GET", s.Address(), "/log/s/records?From=6&Wait=20ms", nil)
	require.Empty(t, v.Records)
}

func TestPlatformFollowsItsInstances(t *testing.T) {
	d := deploy(t, fast())
	x, stop := context.WithCancel(t.Context())
	p := d.Probe(x, tlstandin.ProbeTimes{Every: 20 * time.Millisecond, GoneAfter: 60 * time.Millisecond})
	defer func() { stop(); <-p.Done() }()
	state := func(name string) string {
		_, l := call[tlwire.InstanceList](t, "GET", d.Address(), "/instances", nil)
		for _, i := range l.Instances {
			if i.Name == name {
				return string(i.State)
			}
		}
		return "Gone"
	}
	is := func(name, s string) {
		require.Eventually(t, func() bool { return state(name) == s }, 2*time.Second, 5*time.Millisecond)
	}
	is("p1", "Live")
	d.Engines["p1"].Drain(true)
	is("p1", "Leaving")
	d.Engines["p1"].Drain(false)
	is("p1", "Live")
	d.Engines["d1"].Kill()
	is("d1", "Gone")
	d.Engines["d1"].Restart()
	is("d1", "Live")
	d.CloseServer("desk-1")
	is("desk-1", "Gone")
}
