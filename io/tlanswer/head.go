package tlanswer

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// minStatus and maxStatus bound the statuses that RFC 9110 allows; net/http reads any three
// characters that make a number.
const (
	minStatus = 100
	maxStatus = 599
)

// checkHead returns an *Error if HTTP/1 does not allow the head of an answer to a request.
func checkHead(q *http.Request, a *http.Response) error {
	switch {
	case a.TLS == nil && a.ProtoMajor != 1:
		return &Error{BadVersion, strconv.Quote(a.Proto)}
	case a.StatusCode < minStatus || a.StatusCode > maxStatus:
		return &Error{BadStatus, strconv.Quote(a.Status)}
	case a.StatusCode == http.StatusSwitchingProtocols && q.Header.Get("Upgrade") == "":
		return &Error{Defect: BadSwitch}
	}
	return checkNames(a.Header)
}

// checkNames returns an *Error if a field has a name that is no token. net/http keeps blanks in
// names, so that a field that frames the body passes as one that says nothing of it.
func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return &Error{BadName, strconv.Quote(name)}
		}
	}
	return nil
}

// headSize returns the size of an interim head in bytes, without its reason phrase.
func headSize(h http.Header) int64 {
	n := len("HTTP/1.1 100 \r\n\r\n")
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return int64(n)
}

// chunkedBody is the body of an answer in chunks; it ends with an *Error if its trailer is malformed.
type chunkedBody struct {
	io.ReadCloser
	answer *http.Response
	// endConnection is called if the trailer is malformed.
	endConnection func()
}

// Read reads from the body.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if malformed := checkNames(b.answer.Trailer); malformed != nil {
		b.endConnection()
		return n, malformed
	}
	return n, err
}
