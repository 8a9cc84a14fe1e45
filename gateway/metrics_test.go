package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/platform/tlstand"
)

var (
	groupTitle = regexp.MustCompile(`^### (\w+)$`)
	counterRow = regexp.MustCompile("^\\| `(\\w+)` \\|")
)

// documentedMetrics returns the metrics that docs/OPERATIONS.md lists for the gateway, as Group.Name.
func documentedMetrics(t *testing.T) []string {
	t.Helper()
	b, err := os.ReadFile("../docs/OPERATIONS.md")
	require.NoError(t, err)
	_, page, found := strings.Cut(string(b), "\n## Gateway metrics\n")
	require.True(t, found, "the page has no section Gateway metrics")
	page, _, _ = strings.Cut(page, "\n## ")
	var names []string
	group := ""
	for line := range strings.Lines(page) {
		line = strings.TrimSpace(line)
		if m := groupTitle.FindStringSubmatch(line); m != nil {
			group = m[1]
		}
		if m := counterRow.FindStringSubmatch(line); m != nil {
			names = append(names, group+"."+m[1])
		}
	}
	return names
}

func (w *testCluster) get(i *Instance, path string) []byte {
	w.t.Helper()
	r, err := w.client.Get("http://" + i.settings.Gateway.Lookup.String() + path)
	require.NoError(w.t, err)
	defer r.Body.Close()
	require.Equal(w.t, http.StatusOK, r.StatusCode)
	b, err := io.ReadAll(r.Body)
	require.NoError(w.t, err)
	return b
}

func TestMetricsMatchTheDocumentation(t *testing.T) {
	w := newTestCluster(t)
	i := w.startInstance("a")
	var all map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(w.get(i, "/metrics"), &all))
	var shown map[string]map[string]any
	require.NoError(t, json.Unmarshal(all["trefoillanding"], &shown))
	var names []string
	for group, metrics := range shown {
		for name := range metrics {
			names = append(names, group+"."+name)
		}
	}
	assert.ElementsMatch(t, documentedMetrics(t), names)
}

func TestStatusReportsInstanceState(t *testing.T) {
	w := newTestCluster(t)
	w.startEngines()
	all := w.startFleet(2)
	w.call(all[0], streamCall("id-1", tlstand.StreamPath))
	var s Status
	require.NoError(t, json.Unmarshal(w.get(all[0], "/status"), &s))
	assert.True(t, s.IsReady)
	assert.Equal(t, uint64(1), s.Version)
	assert.Equal(t, "i0", s.Homes[tlstand.ModelService])
	assert.Equal(t, map[string]string{"i0": "Live", "i1": "Live"}, s.Instances)
	assert.Len(t, s.Topics, 4)
}
