package tlconfig

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const plain = `Services:
  - Name: desk
    Kind: Plain
    Calls:
      - {Method: POST, Path: /payments}
      - {Method: GET, Path: "/stock/{item}", Repeatable: true}
      - {Method: GET, Path: /stock/secret}
      - {Method: GET, Path: "/{any}/all", Repeatable: true}
    Endpoints:
      - {Name: e1, Address: "127.0.0.1:7300", DataCentre: izmir}
`

const llm = `Services:
  - Name: llm
    Kind: Completions
    Models: [{Name: kiosk, Version: v1, Adapters: [menu]}]
Pools:
  - Name: p
    Service: llm
    DataCentre: izmir
    Engines:
      - {Name: a, Address: "127.0.0.1:7100", Role: Both}
Organisations:
  - {Name: open}
  - {Name: shut, Token: secret, Weight: 2}
`

func parse(t *testing.T, data ...string) *Config {
	t.Helper()
	c, err := Parse(files(data...)...)
	require.NoError(t, err)
	return c
}

func files(data ...string) []File {
	var f []File
	for i, d := range data {
		f = append(f, File{Name: string(rune('a'+i)) + ".yaml", Data: []byte(d)})
	}
	return f
}

func TestParseReportsEveryProblem(t *testing.T) {
	cases := []struct {
		name string
		data []string
		want []string
	}{
		{"1 same name in two files", []string{plain, `Services:
  - {Name: desk, Kind: Plain, Endpoints: [{Name: e2, Address: "127.0.0.1:1", DataCentre: x}]}
`}, []string{
			`b.yaml:2: Services[0].Name: service or model "desk" is taken already at a.yaml:2`,
		}},
		{"2 unknown service and role", []string{`Services: []
Pools:
  - {Name: p, Service: none, DataCentre: x, Engines: [{Name: a, Address: "127.0.0.1:1", Role: Prefil}]}
`}, []string{
			"a.yaml:1: Services: must declare at least one service in some file",
			`a.yaml:3: Pools[0].Service: no service is named "none"`,
			`a.yaml:3: Pools[0].Engines[0].Role: must be Prefill, Decode or Both, but is "Prefil"`,
			"a.yaml:3: Pools[0].Engines: must hold at least one engine for prefill and one for decode",
		}},
		{"3 duplicate address and invalid paths", []string{`Services:
  - Name: d
    Kind: Plain
    Calls:
      - {Method: get, Path: stock}
      - {Method: GET, Path: "/a/{x}"}
      - {Method: GET, Path: "/a/{y}"}
    Endpoints:
      - {Name: e1, Address: "127.0.0.1:1", DataCentre: z}
      - {Name: e1, Address: "127.0.0.1:1", DataCentre: z}
      - {Name: e2, Address: "localhost:1", DataCentre: z}
`}, []string{
			`a.yaml:5: Services[0].Calls[0].Method: must be an HTTP method in capitals, but is "get"`,
			`a.yaml:5: Services[0].Calls[0].Path: must be a path such as /stock/{item}, but is "stock"`,
			`a.yaml:7: Services[0].Calls[2].Path: call "d GET /a/{}" is taken already at a.yaml:6`,
			`a.yaml:10: Services[0].Endpoints[1].Name: endpoint "e1" is taken already at a.yaml:9`,
			`a.yaml:10: Services[0].Endpoints[1].Address: address "127.0.0.1:1" is taken already at a.yaml:9`,
			`a.yaml:11: Services[0].Endpoints[2].Address: must be an IP address and port, such as 127.0.0.1:8100, but is "localhost:1"`,
		}},
		{"4 model with the name of another service", []string{strings.Replace(llm, "Name: kiosk,", "Name: llm2,", 1), `Services:
  - {Name: llm2, Kind: Completions, Models: [{Name: m, Version: v1}]}
`}, []string{
			`b.yaml:2: Services[0].Name: no pool serves "llm2"`,
			`a.yaml:4: Services[0].Models[0].Name: service or model "llm2" is taken already at b.yaml:2`,
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse(files(c.data...)...)
			require.Error(t, err)
			assert.ElementsMatch(t, c.want, strings.Split(err.Error(), "\n"))
		})
	}
}

func TestCallFor(t *testing.T) {
	s, _ := parse(t, plain).Service("desk")
	cases := []struct {
		name, method, path string
		repeatable         bool
	}{
		{"1 declared call", "GET", "/stock/crab", true},
		{"2 literal part takes precedence", "GET", "/stock/secret", false},
		{"3 earlier literal part takes precedence", "GET", "/stock/all", true},
		{"4 undeclared call", "GET", "/nothing", false},
		{"5 other method", "POST", "/stock/crab", false},
		{"6 ambiguous path", "GET", "/stock/..", false},
		{"7 escaped path", "GET", "/stock/%2e%2e", false},
		{"8 empty part", "GET", "/stock/", false},
		{"9 only a leading slash", "GET", "/", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.repeatable, CallFor(s, c.method, c.path).Repeatable)
		})
	}
}

func TestLookups(t *testing.T) {
	c := parse(t, plain, llm)
	for name, want := range map[string]string{"llm": "", "kiosk": "", "menu": "menu"} {
		g, ok := c.TargetFor(name)
		assert.True(t, ok, name)
		assert.Equal(t, "kiosk", g.Model.Name, name)
		assert.Equal(t, want, g.Adapter, name)
	}
	_, ok := c.TargetFor("desk")
	assert.False(t, ok)
	assert.Equal(t, 2000, c.PoolsOf("llm")[0].PieceTokens)

	callers := []struct {
		token, user, want string
		ok                bool
	}{
		{"secret", "open", "shut", true},
		{"", "open", "open", true},
		{"", "shut", "anonymous", false},
		{"wrong", "", "anonymous", false},
	}
	for _, l := range callers {
		o, ok := c.OrganisationFor(l.token, l.user)
		assert.Equal(t, l.want, o.Name)
		assert.Equal(t, l.ok, ok)
	}
	o, ok := parse(t, plain).OrganisationFor("", "any")
	assert.True(t, ok)
	assert.Equal(t, Anonymous, o)
}

func TestOrderOfFilesHasNoEffect(t *testing.T) {
	assert.Equal(t, parse(t, plain, llm).Declared, parse(t, llm, plain).Declared)
	assert.Len(t, parse(t, plain, llm).Declared.Services, 2)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(plain), []byte(llm))
	f.Add([]byte("Services: [{}]"), []byte(""))
	f.Fuzz(func(_ *testing.T, a, b []byte) {
		_, _ = Parse(File{"a.yaml", a}, File{"b.yaml", b})
	})
}
