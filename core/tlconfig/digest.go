package tlconfig

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
)

// Digest is a digest of a set of items that does not depend on their order, so
// that updating it costs time proportional to the changed items, not to all items.
type Digest [4]uint64

func digestOf(k itemKey, body cbor.RawMessage) Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(k.section), []byte(k.name), body} {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	sum := h.Sum(nil)
	var d Digest
	for i := range d {
		d[i] = binary.LittleEndian.Uint64(sum[8*i:])
	}
	return d
}

func (d Digest) plus(o Digest) Digest {
	for i := range d {
		d[i] += o[i]
	}
	return d
}

func (d Digest) minus(o Digest) Digest {
	for i := range d {
		d[i] -= o[i]
	}
	return d
}

// Bytes returns the digest in its encoded form.
func (d Digest) Bytes() []byte {
	var b []byte
	for _, n := range d {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	return b
}
