package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"trefoillanding/core/tlsettings"
	"trefoillanding/core/tlwire"
	"trefoillanding/platform"
	"trefoillanding/platform/tlstand"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// patience is how long tests wait for what must come; far above what it takes.
const patience = 10 * time.Second

// world is a store with endpoints and instances.
type world struct {
	t      testing.TB
	store  *tlstand.Store
	client *http.Client
	// deployed keeps the times of the deployment in place of those that make tests short.
	deployed bool
}

func newWorld(t testing.TB) *world {
	t.Helper()
	w := &world{t: t, store: tlstand.NewStore(), client: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(w.store.Close)
	t.Cleanup(w.client.CloseIdleConnections)
	w.store.PutJSON(platform.TopicConfig, platform.KeyConfig, tlstand.Config(1))
	return w
}

// plain starts a plain endpoint.
func (w *world) plain(id string) *tlstand.Endpoint {
	return w.endpoint(id, "", tlstand.PlainService)
}

// engine starts an engine of a phase.
func (w *world) engine(id, phase string) *tlstand.Endpoint {
	return w.endpoint(id, phase, tlstand.ModelService)
}

func (w *world) endpoint(id, phase, service string) *tlstand.Endpoint {
	e := tlstand.NewEndpoint(id, phase)
	w.t.Cleanup(e.Close)
	w.store.PutJSON(platform.TopicEndpoints, id, e.Entry(service, "ready"))
	return e
}

// free returns an address on loopback that was free a moment ago, of an IP that
// nobody else uses: outgoing connections take ports of 127.0.0.1 at any time.
func free(t testing.TB) netip.AddrPort {
	t.Helper()
	ip := netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(250)), byte(rand.IntN(256)), byte(1 + rand.IntN(250))})
	l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	require.NoError(t, err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

func (w *world) settings(name string) tlwire.Settings {
	s := tlsettings.Default()
	s.Name, s.DataCentre = name, "z"
	s.Listen, s.PeerListen = free(w.t), free(w.t)
	s.Platform.Address = w.store.Address()
	if w.deployed {
		s.Gateway.Lookup, s.Gateway.Readiness = free(w.t), free(w.t)
		s.Peers.Heartbeat, s.Peers.SuspectAfter = 250*time.Millisecond, time.Second
		return s
	}
	s.Peers.Heartbeat, s.Peers.SuspectAfter = 50*time.Millisecond, 300*time.Millisecond
	s.Gateway.Lookup, s.Gateway.Readiness = free(w.t), free(w.t)
	s.Gateway.ListEvery, s.Gateway.InstancesEvery = 20*time.Millisecond, 50*time.Millisecond
	// A budget begins empty; this one fills at once.
	s.Gateway.RetryBurst, s.Gateway.RetryWindow = 1e5, 100*time.Millisecond
	s.Gateway.AcceptFor = 50 * time.Millisecond
	return s
}

// start starts an instance and waits until it is ready.
func (w *world) start(name string) *Instance {
	w.t.Helper()
	l := logrus.New()
	l.SetOutput(io.Discard)
	i, err := New(w.settings(name), l)
	require.NoError(w.t, err)
	ctx, stop := context.WithTimeout(context.Background(), patience)
	w.t.Cleanup(stop)
	w.t.Cleanup(func() { closeOnce(i) })
	require.NoError(w.t, i.Run(ctx))
	w.eventually(i.isReady)
	return i
}

func closeOnce(i *Instance) {
	select {
	case <-i.Done():
	default:
		i.Close()
	}
}

func (w *world) eventually(f func() bool) {
	w.t.Helper()
	require.Eventually(w.t, f, patience, 5*time.Millisecond)
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	seal   string
	// whole says that the body came to its end.
	whole bool
}

func (w *world) call(i *Instance, c tlstand.Call) answer {
	w.t.Helper()
	if c.Host == "" {
		c.Host = tlstand.Host
	}
	if c.Deadline == 0 {
		c.Deadline = 2 * time.Second
	}
	q, err := c.Request(i.settings.Listen)
	require.NoError(w.t, err)
	r, err := w.client.Do(q)
	require.NoError(w.t, err)
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return answer{r.StatusCode, r.Header, string(b), tlstand.Seal(r), err == nil}
}

func pay(id string) tlstand.Call {
	return tlstand.Call{ID: id, Method: http.MethodPost, Path: tlstand.AtMostOncePath + "x?y=%2f", Body: "pay"}
}

func stock(id string) tlstand.Call {
	return tlstand.Call{ID: id, Method: http.MethodGet, Path: tlstand.IdempotentPath + "item"}
}

func stream(id, path string) tlstand.Call {
	return tlstand.Call{ID: id, Method: http.MethodPost, Path: path + "x", Body: "prompt", PromptTokens: 1000, OutputTokens: 100}
}

// runs counts the endpoints on which a request ran.
func runs(id string, endpoints ...*tlstand.Endpoint) int {
	n := 0
	for _, e := range endpoints {
		for _, a := range e.Arrivals() {
			if a.ID == id && a.Ran {
				n++
			}
		}
	}
	return n
}
