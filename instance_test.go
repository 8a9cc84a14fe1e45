package trefoillanding

import (
	"context"
	"io"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlconfig"
	"trefoillanding/core/tlsettings"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlcaller"
	"trefoillanding/io/tlstandin"
)

const testTimeout = 30 * time.Second

func quietLog() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func exampleConfig(t *testing.T) *tlconfig.Config {
	t.Helper()
	const name = "examples/yengec/configuration.yaml"
	b, err := os.ReadFile(name)
	require.NoError(t, err)
	c, err := tlconfig.Parse(tlconfig.File{Name: name, Data: b})
	require.NoError(t, err)
	return c
}

func TestStreamIsWhole(t *testing.T) {
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
	b := tlstandin.NewBehaviour()
	b.TokenEvery = time.Millisecond
	declared := exampleConfig(t).Declared
	for p := range declared.Pools {
		for e := range declared.Pools[p].Engines {
			declared.Pools[p].Engines[e].Address = netip.MustParseAddrPort("127.0.0.1:0")
		}
	}
	for s := range declared.Services {
		for e := range declared.Services[s].Endpoints {
			declared.Services[s].Endpoints[e].Address = netip.MustParseAddrPort("127.0.0.1:0")
		}
	}
	d, err := tlstandin.NewDeployment(declared, netip.MustParseAddrPort("127.0.0.1:0"), nil, b)
	require.NoError(t, err)
	defer d.Close()

	s := tlsettings.Default()
	s.Name, s.DataCentre = "izmir-1", "izmir"
	s.Listen = netip.MustParseAddrPort("127.0.0.1:18101")
	i, err := New(s, quietLog())
	require.NoError(t, err)
	defer i.Close()
	i.Use(1, tlconfig.New(d.Config()))

	c := tlcaller.New([]netip.AddrPort{s.Listen}, 3)
	defer c.Close()
	q := tlwire.CompletionRequest{Model: "kiosk-llm", Prompt: "menu answer=100", MaxTokens: 200}
	r, err := c.Stream(ctx, q, nil)
	require.NoError(t, err)
	assert.Equal(t, tlstandin.Answer(q.Prompt, 0, 100), r.Text)
	assert.Equal(t, 100, r.Tokens)
	assert.Eventually(t, func() bool { return d.PiecesHeld() == 0 }, time.Second, 10*time.Millisecond)
	t.Log(r.FirstToken, r.LongestGap)
	t.Log(i.metrics.String())
}
