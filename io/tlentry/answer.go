package tlentry

import "net/http"

// answer remembers whether its header is out, after which no refusal can be sent.
type answer struct {
	http.ResponseWriter
	isOut bool
}

// WriteHeader sends the status.
func (a *answer) WriteHeader(status int) {
	a.isOut = true
	a.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body.
func (a *answer) Write(b []byte) (int, error) {
	a.isOut = true
	return a.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController reach the connection.
func (a *answer) Unwrap() http.ResponseWriter {
	return a.ResponseWriter
}
