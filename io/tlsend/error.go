package tlsend

import (
	"fmt"

	"trefoillanding/core/tlhealth"
)

// Error describes a send that returned no answer.
type Error struct {
	// Endpoint is the ID of the endpoint to which the request was sent.
	Endpoint string
	// MayHaveRun is true if the endpoint may have run the request, or may still run it.
	MayHaveRun bool
	// IsUnsent is true if the request may not be sent to the endpoint now, and was not.
	IsUnsent bool
	// Outcome is what the failure says about the endpoint's health.
	Outcome tlhealth.Outcome
	// Err is the underlying error.
	Err error
}

// Error returns the endpoint, the outcome and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("endpoint %s: %s: %v", e.Endpoint, e.Outcome, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
