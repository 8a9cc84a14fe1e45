package tlplatform

import "fmt"

// NotAppendedError means that an append certainly had no effect and never will.
type NotAppendedError struct {
	Stream string
	Cause  error
}

// Error returns the stream and the cause.
func (e *NotAppendedError) Error() string {
	return fmt.Sprintf("stream %s: nothing was appended: %v", e.Stream, e.Cause)
}

// Unwrap returns the cause.
func (e *NotAppendedError) Unwrap() error {
	return e.Cause
}

// MayBeAppendedError means that an append may have taken effect or may still do so.
type MayBeAppendedError struct {
	Stream string
	Cause  error
}

// Error returns the stream and the cause.
func (e *MayBeAppendedError) Error() string {
	return fmt.Sprintf("stream %s: may have been appended: %v", e.Stream, e.Cause)
}

// Unwrap returns the cause.
func (e *MayBeAppendedError) Unwrap() error {
	return e.Cause
}

// RetentionError means that the log no longer retains the requested offset.
type RetentionError struct {
	Stream string
	From   uint64
	Oldest uint64
	Next   uint64
}

// Error returns the stream, the requested offset and the oldest retained one.
func (e *RetentionError) Error() string {
	return fmt.Sprintf("stream %s: offset %d is no longer kept, the oldest is %d", e.Stream, e.From, e.Oldest)
}

// StatusError means that the platform responded with an unexpected HTTP status.
type StatusError struct {
	Status int
}

// Error returns the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the platform answered with status %d", e.Status)
}
