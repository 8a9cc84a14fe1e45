package tlclaim

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
)

// ID identifies a key of a service; equal keys of different services have different IDs.
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

// Stream returns the index of the stream, out of n, that holds the claims of the ID.
func (i ID) Stream(n int) int {
	return int(binary.BigEndian.Uint64(i[:8]) % uint64(n))
}

// Digest is the SHA-256 digest of a request, truncated to 16 bytes.
type Digest [16]byte

// NewDigest returns the digest of a request's parts; their order matters.
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
