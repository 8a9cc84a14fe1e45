package trefoillanding

import (
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	groupTitle = regexp.MustCompile(`^### (\w+)$`)
	counterRow = regexp.MustCompile("^\\| `(\\w+)` \\|")
)

// documentedCounters returns the counters that docs/OPERATIONS.md lists, as Group.Name.
func documentedCounters(t *testing.T) []string {
	t.Helper()
	b, err := os.ReadFile("docs/OPERATIONS.md")
	require.NoError(t, err)
	_, page, found := strings.Cut(string(b), "\n## Counters\n")
	require.True(t, found, "the page has no section Counters")
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

// publishedCounters returns the counters that an instance publishes before its first request,
// as Group.Name.
func publishedCounters(t *testing.T, i *Instance) []string {
	t.Helper()
	var groups map[string]map[string]int64
	require.NoError(t, json.Unmarshal([]byte(i.metrics.String()), &groups))
	var names []string
	for g, counters := range groups {
		for c := range counters {
			names = append(names, g+"."+c)
		}
	}
	return names
}

func TestEveryCounterIsDocumented(t *testing.T) {
	ports := freePorts(t, 3)
	s := &cluster{}
	i := s.startInstance(t, testSettings("izmir", ports[0], ports[1], ports[2]))
	documented, published := documentedCounters(t), publishedCounters(t, i)
	assert.NotEmpty(t, published)
	assert.ElementsMatch(t, published, documented)
}
