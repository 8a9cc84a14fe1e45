package tlentry

import (
	"errors"
	"io"
	"net/http"
	"time"

	"trefoillanding/core/tlverdict"
)

// readBody reads the body within Limits.BodyBytes and Limits.BodyTimeout.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	l := e.deps.Settings.Limits
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(time.Now().Add(l.BodyTimeout))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, l.BodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, tlverdict.New(tlverdict.BodyTooLarge, "the body has more than %d bytes", l.BodyBytes)
	}
	if err != nil {
		return nil, tlverdict.New(tlverdict.BadBody, "the body can't be read: %v", err)
	}
	_ = c.SetReadDeadline(time.Time{})
	return b, nil
}
