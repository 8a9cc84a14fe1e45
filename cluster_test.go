package trefoillanding

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	"trefoillanding/core/tlconfig"
	"trefoillanding/core/tlsettings"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlcaller"
	"trefoillanding/io/tlstandin"
)

// cluster is a small deployment in the test process: stand-ins and three instances.
type cluster struct {
	deployment *tlstandin.Deployment
	settings   []tlwire.Settings
	instances  []*Instance
}

func newCluster(t *testing.T, change func(*tlstandin.Behaviour)) *cluster {
	t.Helper()
	s := &cluster{}
	ports := freePorts(t, 7)
	var entries []tlwire.Instance
	for n, place := range []string{"izmir", "bodrum", "ayvalik"} {
		v := testSettings(place, ports[0], ports[1+2*n], ports[2+2*n])
		s.settings = append(s.settings, v)
		entries = append(entries, tlwire.Instance{
			Name:        v.Name,
			Kind:        tlwire.InstanceKindEntry,
			DataCentre:  v.DataCentre,
			Address:     v.Listen,
			PeerAddress: v.PeerListen,
			State:       tlwire.InstanceStateLive,
		})
	}
	b := tlstandin.NewBehaviour()
	b.TokenEvery = 2 * time.Millisecond
	if change != nil {
		change(&b)
	}
	d, err := tlstandin.NewDeployment(exampleConfig(t), ports[0], entries, b)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	s.deployment = d
	for _, v := range s.settings {
		s.instances = append(s.instances, s.startInstance(t, v))
	}
	s.apply(t)
	return s
}

// apply applies the deployment's configuration and waits until it is in force on every
// instance.
func (s *cluster) apply(t *testing.T) {
	t.Helper()
	data, err := yaml.Marshal(s.deployment.Config())
	require.NoError(t, err)
	ctx := withTimeout(t, 8*time.Second)
	c := tlwire.ApplyCall{Files: []tlwire.ApplyFile{{Name: "configuration", Data: data}}, Nonce: t.Name()}
	g, err := s.instances[0].configurer.Apply(ctx, c)
	require.NoError(t, err)
	for _, i := range s.instances {
		require.Eventually(t, func() bool {
			now, _ := i.current()
			return now >= g
		}, 8*time.Second, time.Millisecond)
	}
}

func testSettings(place string, platform, listen, peer netip.AddrPort) tlwire.Settings {
	v := tlsettings.Default()
	v.Name, v.DataCentre = place+"-1", place
	v.Platform.Address, v.Listen, v.PeerListen = platform, listen, peer
	v.Platform.ListEvery = 200 * time.Millisecond
	v.Peers.Heartbeat, v.Peers.SuspectAfter = 200*time.Millisecond, 600*time.Millisecond
	v.Drain.KeepFor = 500 * time.Millisecond
	v.Security.EventKeys = []string{"a key that only tests use"}
	return v
}

func (s *cluster) startInstance(t *testing.T, v tlwire.Settings) *Instance {
	t.Helper()
	l := logrus.New()
	l.SetOutput(io.Discard)
	i, err := New(v, l)
	require.NoError(t, err)
	t.Cleanup(func() {
		select {
		case <-i.Done():
		default:
			i.Close()
		}
	})
	return i
}

func (s *cluster) caller(t *testing.T) *tlcaller.Caller {
	t.Helper()
	var known []netip.AddrPort
	for _, v := range s.settings {
		known = append(known, v.Listen)
	}
	c := tlcaller.New(known, 50)
	t.Cleanup(c.Close)
	return c
}

// requireNoMemoryHeld fails when engines still hold KV-cache memory after the
// promised time limit within.
func (s *cluster) requireNoMemoryHeld(t *testing.T, within time.Duration) {
	t.Helper()
	assert.Eventually(t, func() bool { return s.deployment.PiecesHeld() == 0 }, within, 10*time.Millisecond, "engines hold memory")
}

func exampleConfig(t *testing.T) tlwire.Config {
	t.Helper()
	const name = "examples/yengec/configuration.yaml"
	b, err := Examples.ReadFile(name)
	require.NoError(t, err)
	c, err := tlconfig.Parse(tlconfig.File{Name: name, Data: b})
	require.NoError(t, err)
	free := netip.MustParseAddrPort("127.0.0.1:0")
	for _, p := range c.Declared.Pools {
		for e := range p.Engines {
			p.Engines[e].Address = free
		}
	}
	for _, v := range c.Declared.Services {
		for e := range v.Endpoints {
			v.Endpoints[e].Address = free
		}
	}
	return c.Declared
}

// freePorts returns free ports of a loopback address that only this process uses, so
// that the system does not assign one to a connection or a stand-in in the meantime.
func freePorts(t testing.TB, n int) []netip.AddrPort {
	t.Helper()
	var ports []netip.AddrPort
	pid := os.Getpid()
	own := netip.AddrFrom4([4]byte{127, byte(1 + pid>>16), byte(pid >> 8), byte(pid)})
	for range n {
		l, err := net.Listen("tcp", netip.AddrPortFrom(own, 0).String())
		require.NoError(t, err)
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return ports
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), d)
	t.Cleanup(stop)
	return ctx
}
