package tlplain

import "net/http"

// Call is a caller's HTTP call to a plain service.
type Call struct {
	// Method is the HTTP method.
	Method string
	// Path is the escaped path below the service, with a leading slash.
	Path string
	// Query is the raw query, without the question mark.
	Query string
	// Header is the caller's header.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// Answer is the endpoint's answer.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Header is the endpoint's header without the hop-by-hop fields.
	Header http.Header
	// Body is the whole body.
	Body []byte
}
