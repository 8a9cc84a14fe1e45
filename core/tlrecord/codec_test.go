package tlrecord

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlwire"
)

func TestEncodedRecordDecodesUnchanged(t *testing.T) {
	want := tlwire.Claim{Service: "order-desk", Key: "pay-17", Digest: []byte{1}, Instance: "izmir-1", Nonce: 9}
	data, err := Encode(want)
	require.NoError(t, err)
	r, err := Open(data)
	require.NoError(t, err)
	got, err := Decode[tlwire.Claim](r)
	require.NoError(t, err)
	assert.Equal(t, want, got)
	_, err = Decode[tlwire.Release](r)
	assert.Error(t, err)
}

func TestOpenRejectsLaterVersion(t *testing.T) {
	data, err := cbor.Marshal(tlwire.Record{Kind: "New", Version: currentVersion + 1, Body: []byte{0xf6}})
	require.NoError(t, err)
	_, err = Open(data)
	assert.ErrorIs(t, err, ErrLaterVersion)
}

func FuzzOpen(f *testing.F) {
	seed, _ := Encode(tlwire.Release{Service: "s", Key: "k", Nonce: 1})
	f.Add(seed)
	f.Fuzz(func(_ *testing.T, data []byte) {
		r, err := Open(data)
		if err != nil {
			return
		}
		_, _ = Decode[tlwire.Claim](r)
		_, _ = Decode[tlwire.Outcome](r)
		_, _ = Decode[tlwire.ConfigProposal](r)
	})
}
