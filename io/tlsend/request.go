package tlsend

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"trefoillanding/core/tlcall"
)

// Request is a caller's request as it is forwarded to an endpoint.
type Request struct {
	// ID identifies the caller's attempt.
	ID string
	// Method, Target and Host are the caller's; Target is the path and query exactly as received.
	Method string
	Target string
	Host   string
	// Header is the caller's, without hop-by-hop headers and headers that only the router sets.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// Reply is an endpoint's answer; the caller must close Body.
type Reply struct {
	Status int
	Header http.Header
	Answer tlcall.Answer
	Body   io.ReadCloser
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// DialedAt is when the connection that it came on was opened.
	DialedAt time.Time
	// EndsWithConnection says that the body has neither a length nor chunks.
	EndsWithConnection bool
}

// nonReplayableReader hides that a body could be read again; otherwise the
// Transport would retry a request when a reused connection fails.
type nonReplayableReader struct {
	*bytes.Reader
}

// Close does nothing.
func (nonReplayableReader) Close() error {
	return nil
}

// body returns the body to send and its length in bytes. A method that usually
// has no body gets an empty one of unknown length, which the Transport omits.
func (r Request) body() (io.ReadCloser, int64) {
	if len(r.Body) > 0 {
		return nonReplayableReader{bytes.NewReader(r.Body)}, int64(len(r.Body))
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return nonReplayableReader{bytes.NewReader(nil)}, -1
	}
	return http.NoBody, 0
}

// CanSend reports whether a target can be sent exactly as received: net/http would encode
// bytes that no URL may hold in one that begins with two slashes.
func CanSend(target string) bool {
	return !strings.HasPrefix(target, "//") || targetURL("", target).RequestURI() == target
}

// targetURL returns the URL that makes the Transport send target unchanged, if CanSend.
func targetURL(address, target string) *url.URL {
	u := &url.URL{Scheme: "http", Host: address}
	if !strings.HasPrefix(target, "//") {
		u.Opaque = target
		return u
	}
	// An opaque URL that begins with two slashes gets a scheme before it.
	u.RawPath, u.RawQuery, u.ForceQuery = strings.Cut(target, "?")
	// A path that can't be decoded is none that CanSend.
	u.Path, _ = url.PathUnescape(u.RawPath)
	return u
}
