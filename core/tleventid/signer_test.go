package tleventid

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var position = Position{
	Request:    "r1",
	Attempt:    "r1/1",
	Pool:       "kiosk-izmir",
	Engine:     netip.MustParseAddrPort("127.0.0.1:7100"),
	FirstIndex: 3,
	BodyDigest: 42,
	Index:      17,
	Finish:     "stop",
}

func TestSignerRoundTrip(t *testing.T) {
	old, fresh := New([]string{"old"}), New([]string{"new", "old"})
	id := string(Append(nil, old.Prefix(position), 17, "stop"))
	p, err := fresh.Parse(id)
	require.NoError(t, err)
	assert.Equal(t, position, p)
}

func TestSignerRefusesInvalidIDs(t *testing.T) {
	s := New([]string{"key"})
	id := string(Append(nil, s.Prefix(position), 17, ""))
	cases := []struct{ name, id string }{
		{"empty", ""},
		{"no index", s.Prefix(position)},
		{"negative index", s.Prefix(position) + ".-1"},
		{"other key", string(Append(nil, New([]string{"other"}).Prefix(position), 1, ""))},
		{"changed prefix", "A" + id},
		{"changed byte", "B" + id[1:]},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := s.Parse(c.id)
			assert.ErrorContains(t, err, "BadEventID")
		})
	}
}

func FuzzParse(f *testing.F) {
	s := New([]string{"key"})
	f.Add(string(Append(nil, s.Prefix(position), 3, "stop")))
	f.Add("..")
	f.Fuzz(func(t *testing.T, id string) {
		p, err := s.Parse(id)
		if err != nil {
			return
		}
		if p.Index < 0 {
			t.Fatalf("negative index from %q", id)
		}
	})
}
