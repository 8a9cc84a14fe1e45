package tlplain

import (
	"net/http"
	"slices"
	"strings"

	"trefoillanding/core/tlwire"
)

const (
	keyHeader      = "Idempotency-Key"
	verdictHeader  = "Trefoil-Verdict"
	replayedHeader = "Trefoil-Replayed"
	drainingHeader = "Draining"
	maxKeyBytes    = 255
)

// connectionHeaders are the hop-by-hop fields and those that the transport sets.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Host", "Content-Length",
}

// forwardedHeader returns a copy of a header without the fields of connectionHeaders and
// those that its Connection field names.
func forwardedHeader(h http.Header) http.Header {
	c := h.Clone()
	if c == nil {
		c = http.Header{}
	}
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			c.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		c.Del(name)
	}
	return c
}

// isValidKey reports whether an Idempotency-Key is 1 to maxKeyBytes printable ASCII characters.
func isValidKey(k string) bool {
	if k == "" || len(k) > maxKeyBytes {
		return false
	}
	return !strings.ContainsFunc(k, func(r rune) bool { return r < ' ' || r > '~' })
}

func headerFields(h http.Header) []tlwire.HeaderField {
	var f []tlwire.HeaderField
	for name, values := range h {
		for _, v := range values {
			f = append(f, tlwire.HeaderField{Name: name, Value: v})
		}
	}
	slices.SortStableFunc(f, func(a, b tlwire.HeaderField) int { return strings.Compare(a.Name, b.Name) })
	return f
}

func headerFromFields(f []tlwire.HeaderField) http.Header {
	h := http.Header{}
	for _, v := range f {
		h.Add(v.Name, v.Value)
	}
	return h
}
