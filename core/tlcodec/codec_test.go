package tlcodec

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlwire"
)

func TestEncodeThenDecodeReturnsSameValue(t *testing.T) {
	s := tlwire.Submission{Pool: "p", Due: time.Date(2026, 1, 2, 3, 4, 5, 678901234, time.UTC), Blocks: []uint64{1 << 63}}
	data, err := Encode(s)
	require.NoError(t, err)
	back, err := Decode[tlwire.Submission](data)
	require.NoError(t, err)
	assert.Equal(t, s, back)

	e := tlwire.PlainEndpoint{Name: "e", Address: netip.MustParseAddrPort("[::1]:80")}
	data, err = Encode(e)
	require.NoError(t, err)
	again, err := Decode[tlwire.PlainEndpoint](data)
	require.NoError(t, err)
	assert.Equal(t, e, again)
}

func TestDecodeIgnoresFieldsOfLaterVersions(t *testing.T) {
	data, err := Encode(map[string]any{"Name": "a", "Incarnation": 1, "DataCentre": "x", "Later": []int{1}})
	require.NoError(t, err)
	h, err := Decode[tlwire.Hello](data)
	require.NoError(t, err)
	assert.Equal(t, tlwire.Hello{Name: "a", Incarnation: 1, DataCentre: "x"}, h)
}
