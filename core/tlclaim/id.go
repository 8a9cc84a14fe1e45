package tlclaim

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
)

// ID stands for a key of a service; keys of different services never meet.
type ID [16]byte

// NewID returns the ID of a service's key.
func NewID(service, key string) ID {
	h := sha256.New()
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(service)))
	_, _ = h.Write(n[:])
	_, _ = io.WriteString(h, service)
	_, _ = io.WriteString(h, key)
	return ID(h.Sum(nil)[:len(ID{})])
}

// Stream returns which of n streams holds the claims of the ID.
func (i ID) Stream(n int) int {
	return int(binary.BigEndian.Uint64(i[:8]) % uint64(n))
}

// Digest is the digest of a request, shortened to what a table keeps.
type Digest [16]byte

// NewDigest returns the digest of a request's parts, in order.
func NewDigest(parts ...[]byte) Digest {
	h := sha256.New()
	var n [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		_, _ = h.Write(n[:])
		_, _ = h.Write(p)
	}
	return Digest(h.Sum(nil)[:len(Digest{})])
}
