package tlroute

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func route(name, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Targets: []Target{{Service: "s", Weight: 1}}}
}

func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	table, err := New(7, []Route{
		route("short", "a.example", "/x/"),
		route("long", "a.example", "/x/y/"),
		route("other", "b.example", "/"),
	}, nil, Limits{})
	require.NoError(t, err)
	cases := []struct {
		host, path, want string
	}{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"A.Example:8080", "/x/y/", "long"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"b.example", "/x/y/", "other"},
		{"c.example", "/x/", ""},
		{"", "/x/", ""},
	}
	for _, c := range cases {
		r, _ := table.Match(c.host, c.path)
		assert.Equal(t, c.want, r.Name, c)
	}
}

func TestNewRejectsInvalidRoutes(t *testing.T) {
	bad := route("r", "a", "/x")
	_, err := New(1, []Route{bad}, nil, Limits{})
	assert.ErrorContains(t, err, "slash")
	_, err = New(1, []Route{{Name: "r", Prefix: "/"}}, nil, Limits{})
	assert.ErrorContains(t, err, "no service")
}

func TestPickFollowsWeights(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}}}
	assert.Equal(t, "a", r.Pick(0))
	assert.Equal(t, "a", r.Pick(0.89))
	assert.Equal(t, "b", r.Pick(0.91))
	assert.Equal(t, "b", r.Pick(1))
}
