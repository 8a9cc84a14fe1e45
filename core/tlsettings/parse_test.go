package tlsettings

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const minimalSettings = `Name: izmir-1
DataCentre: izmir
Listen: 127.0.0.1:8100
PeerListen: 127.0.0.1:8200
Platform:
  Address: 127.0.0.1:7000
`

func TestParseFillsDefaults(t *testing.T) {
	s, err := Parse("a.yaml", []byte(minimalSettings))
	require.NoError(t, err)
	assert.Equal(t, int64(4<<20), s.Limits.BodyBytes)
	assert.Equal(t, 5*time.Second, s.Drain.KeepFor)
	assert.Equal(t, 16, s.Platform.ClaimStreams)
	assert.Equal(t, "info", s.Log.Level)
}

func TestParseReportsEveryProblem(t *testing.T) {
	cases := []struct {
		name string
		data string
		want []string
	}{
		{"1 empty file", "", []string{"a.yaml:1: the file is empty"}},
		{"2 missing fields", "Name: a\n", []string{
			"a.yaml:1: DataCentre: is missing", "a.yaml:1: Listen: is missing",
			"a.yaml:1: PeerListen: is missing", "a.yaml:1: Platform: is missing",
		}},
		{"3 several problems", minimalSettings + "Drain:\n  KeepFor: 5\n  Keepfor: 5s\nlimits: {}\nLog: {Level: loud}\n", []string{
			`a.yaml:8: Drain.KeepFor: must be a duration with a unit, such as 250ms, but is "5"`,
			"a.yaml:9: Drain.Keepfor: is not a known field; KeepFor is",
			"a.yaml:10: limits: is not a known field; Limits is",
			`a.yaml:11: Log.Level: must be one of info, debug, warning, error, but is "loud"`,
		}},
		{"4 field set twice", minimalSettings + "Name: b\n", []string{"a.yaml:7: Name: is set twice, first on line 1"}},
		{"5 invalid numbers and an anchor", minimalSettings + "Limits: {BodyBytes: 0, Concurrent: many}\nRegion: &r x\n", []string{
			`a.yaml:7: Limits.Concurrent: must be a whole number, but is "many"`,
			"a.yaml:7: Limits.BodyBytes: must be from 1 to 1073741824, but is 0",
			"a.yaml:8: Region: anchors and aliases are not supported",
		}},
		{"6 syntax error", "Name: [\n", []string{"a.yaml:1: did not find expected node content"}},
		{"7 section without value", minimalSettings + "Drain:\n", []string{"a.yaml:7: Drain: must be a mapping"}},
		{"8 key without certificate", minimalSettings + "Security: {Key: k.pem, EventKeys: [short]}\n", []string{
			"a.yaml:7: Security.Key: needs Security.Certificate to be set too",
			"a.yaml:7: Security.EventKeys: must be keys of at least 16 characters",
		}},
		{"9 duration overflow", minimalSettings + "Peers: {Heartbeat: 99999999999h}\n", []string{
			`a.yaml:7: Peers.Heartbeat: must be a duration with a unit, such as 250ms, but is "99999999999h"`,
		}},
		{"10 two documents", minimalSettings + "---\nName: b\n", []string{"a.yaml:7: a file holds one document only"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("a.yaml", []byte(c.data))
			require.Error(t, err)
			assert.Equal(t, c.want, splitLines(err.Error()))
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Add([]byte("Name: [\n"))
	f.Add([]byte("? {a: b}\n: c\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Parse("a.yaml", data)
	})
}

func splitLines(s string) []string {
	return strings.Split(s, "\n")
}
