package tlentry

import "net/http"

// trackedWriter records whether the answer has begun; no refusal can be sent after that.
type trackedWriter struct {
	http.ResponseWriter
	hasWritten bool
}

// WriteHeader sends the header with the status.
func (a *trackedWriter) WriteHeader(status int) {
	a.hasWritten = true
	a.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body.
func (a *trackedWriter) Write(b []byte) (int, error) {
	a.hasWritten = true
	return a.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController reach the connection.
func (a *trackedWriter) Unwrap() http.ResponseWriter {
	return a.ResponseWriter
}
