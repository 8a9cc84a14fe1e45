package trefoillanding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	"trefoillanding/core/tlwire"
)

func TestVersionRollsOutUnderLiveRequests(t *testing.T) {
	s := newCluster(t, nil)
	c := exampleConfig(t)
	pools := s.deployment.Config().Pools
	c.Pools = pools
	c.Services = s.deployment.Config().Services
	c.Organisations = s.deployment.Config().Organisations
	for n := range c.Services {
		for m := range c.Services[n].Models {
			c.Services[n].Models[m].Version = "v2"
		}
	}
	data, err := yaml.Marshal(c)
	require.NoError(t, err)
	requireCompleteStreams(withTimeout(t, 30*time.Second), t, s.caller(t), 60, 300, func() {
		_, err := s.instances[1].configurer.Apply(withTimeout(t, 8*time.Second), tlwire.ApplyCall{
			Files: []tlwire.ApplyFile{{Name: "configuration", Data: data}}, Nonce: "roll",
		})
		require.NoError(t, err)
	})
	for _, p := range pools {
		require.Eventually(t, func() bool { return s.runsVersion(t, p, "v2") }, 15*time.Second, 20*time.Millisecond, p.Name)
	}
	requireCompleteStreams(withTimeout(t, 30*time.Second), t, s.caller(t), 30, 100, nil)
}

// runsVersion reports whether an engine of a pool has a version ready, and checks that
// the engine has received a fencing number.
func (s *cluster) runsVersion(t *testing.T, p tlwire.Pool, version string) bool {
	t.Helper()
	for _, e := range p.Engines {
		l, err := s.instances[0].engines.Load(withTimeout(t, time.Second), e.Address)
		if err != nil {
			continue
		}
		for _, m := range l.Models {
			if m.Version == version && m.Ready {
				assert.Positive(t, l.FencingNumber)
				return true
			}
		}
	}
	return false
}
