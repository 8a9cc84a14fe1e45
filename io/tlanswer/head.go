package tlanswer

import (
	"net/http"
	"strconv"
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
	case a.ProtoMajor != 1:
		return &Error{BadVersion, strconv.Quote(a.Proto)}
	case a.StatusCode < minStatus || a.StatusCode > maxStatus:
		return &Error{BadStatus, strconv.Quote(a.Status)}
	case a.StatusCode == http.StatusSwitchingProtocols && q.Header.Get("Upgrade") == "":
		return &Error{Defect: BadSwitch}
	}
	return nil
}
