package tlquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

const (
	// requestPrefix marks the IDs of whole requests; no part of a prompt has it.
	requestPrefix = "request/"
	// digestBytes is the length of the digest of a request: two that differ do not share one by chance.
	digestBytes = 16
)

// Request is what tells a request from others, and is the same each time it is repeated.
type Request struct {
	Method, Host, Path string
	// Prompt lists the parts of the prompt, in case that the body does not tell them.
	Prompt string
	// Query and Authorization may change from one repetition to the next.
	Query, Authorization string
	Body                 []byte
}

// Parts returns the request itself as parts, which its repetitions share: first without,
// then with what may change.
func (r Request) Parts() []string {
	body := sha256.Sum256(r.Body)
	same := digest(r.Method, r.Host, r.Path, r.Prompt, string(body[:]))
	return []string{requestPrefix + same, requestPrefix + digest(same, r.Query, r.Authorization)}
}

// isRequest reports whether a part is a whole request.
func isRequest(part string) bool {
	return strings.HasPrefix(part, requestPrefix)
}

// digest returns a digest of fields, each with its length before it.
func digest(fields ...string) string {
	var b []byte
	for _, f := range fields {
		b = binary.AppendUvarint(b, uint64(len(f)))
		b = append(b, f...)
	}
	d := sha256.Sum256(b)
	return hex.EncodeToString(d[:digestBytes])
}
