package tlconfig

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlsettings"
	"trefoillanding/core/tlwire"
)

func TestExampleConfigurationsParse(t *testing.T) {
	cases := []struct {
		folder, service, plain           string
		replicas, dataCentres, instances int
		declarations                     []string
	}{
		{"yengec", "kiosk-llm", "order-desk", 18, 3, 6, []string{"configuration.yaml"}},
		{"sprue", "summary-llm", "shopfront-app", 12, 4, 7, []string{"configuration.yaml", "organisations.yaml"}},
	}
	for _, c := range cases {
		t.Run(c.folder, func(t *testing.T) {
			k := declared(t, c.folder, c.declarations)
			assert.Len(t, k.Declared.DataCentres, c.dataCentres)
			assert.Len(t, k.PoolsOf(c.service), c.dataCentres)
			assert.Equal(t, c.replicas, replicas(k.PoolsOf(c.service)))
			_, ok := k.Service(c.plain)
			assert.True(t, ok)
			assert.Equal(t, c.instances, instances(t, c.folder, c.declarations))
		})
	}
}

func declared(t *testing.T, folder string, names []string) *Config {
	t.Helper()
	var files []File
	for _, n := range names {
		data, err := os.ReadFile(filepath.Join("../../examples", folder, n))
		require.NoError(t, err)
		files = append(files, File{Name: n, Data: data})
	}
	c, err := Parse(files...)
	require.NoError(t, err)
	return c
}

func replicas(pools []tlwire.Pool) int {
	n := 0
	for _, p := range pools {
		n += len(p.Engines)
	}
	return n
}

// instances counts the settings files of a folder, whose names and addresses must be distinct.
func instances(t *testing.T, folder string, declarations []string) int {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("../../examples", folder, "*.yaml"))
	require.NoError(t, err)
	seen := map[string]bool{}
	for _, f := range files {
		name := filepath.Base(f)
		if assert.ObjectsAreEqual(declarations[0], name) || assert.ObjectsAreEqual(declarations[len(declarations)-1], name) {
			continue
		}
		data, err := os.ReadFile(f)
		require.NoError(t, err)
		s, err := tlsettings.Parse(name, data)
		require.NoError(t, err)
		seen[s.Name], seen[s.Listen.String()], seen[s.PeerListen.String()] = true, true, true
	}
	return len(seen) / 3
}
