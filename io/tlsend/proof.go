package tlsend

import (
	"errors"
	"net/http"

	"trefoillanding/core/tlcall"
)

var (
	errNoID         = errors.New("the answer names no request")
	errOtherRequest = errors.New("the answer belongs to another request")
	errUnsealed     = errors.New("the success bears no seal")
)

// Unproved returns why an endpoint's answer is not proved to be that to a request; nil if
// it is. An endpoint may write an earlier answer once more, or bytes that are no answer of
// its own, where the next one is expected. A call without an ID is alone on its connection.
func Unproved(r Request, stage tlcall.Stage, a *Reply) error {
	switch {
	case r.ID != "" && a.Answer.ID == "":
		return errNoID
	case a.Answer.ID != r.ID:
		return errOtherRequest
	case r.ID != "" && stage == tlcall.Whole && isSuccess(a.Status) && !a.Answer.IsSealed:
		return errUnsealed
	}
	return nil
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
