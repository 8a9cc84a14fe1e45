package tlengine

import (
	"errors"
	"fmt"

	"trefoillanding/core/tlwire"
)

// Cause classifies why a call to an engine failed.
type Cause int

// The causes of failed calls to an engine.
const (
	// Refused means that the engine answered with a refusal.
	Refused Cause = iota
	// Unreachable means that no connection to the engine could be made.
	Unreachable
	// Lost means that the response was lost or cut short.
	Lost
	// Malformed means that the response can't be decoded.
	Malformed
	// WrongAttempt means that the response belongs to another attempt.
	WrongAttempt
	// Stalled means that the engine made no progress within the stall timeout.
	Stalled
	// Gap means that the stream skipped a token.
	Gap
	// Failed means that the engine reported that work it had started failed.
	Failed
	// Ended means that the caller's context or the client has ended.
	Ended
)

// causeInfo holds the name, the verdict and the counter of a cause; the counter may be empty.
type causeInfo struct {
	name    string
	verdict tlwire.Verdict
	counter string
}

var causes = map[Cause]causeInfo{
	Refused:      {"Refused", tlwire.VerdictNotRun, CountRefused},
	Unreachable:  {"Unreachable", tlwire.VerdictNotRun, CountUnreachable},
	Lost:         {"Lost", tlwire.VerdictMayHaveRun, CountLost},
	Malformed:    {"Malformed", tlwire.VerdictMayHaveRun, CountMalformed},
	WrongAttempt: {"Crossed", tlwire.VerdictMayHaveRun, CountWrongAttempt},
	Stalled:      {"Stalled", tlwire.VerdictMayHaveRun, ""},
	Gap:          {"Gap", tlwire.VerdictMayHaveRun, CountGap},
	Failed:       {"Failed", tlwire.VerdictMayHaveRun, CountRefused},
	Ended:        {"Ended", tlwire.VerdictMayHaveRun, ""},
}

// String returns the cause's name.
func (c Cause) String() string {
	return causes[c].name
}

// The refusal reasons that callers distinguish.
const (
	reasonUnknown    = "Unknown"
	reasonFull       = "Full"
	reasonOtherOwner = "OtherOwner"
	reasonOldFencing = "OldFencingNumber"
)

// Error describes a failed call to an engine and whether its work may have run.
type Error struct {
	// Cause is why the call failed.
	Cause Cause
	// Verdict says whether the engine may have done what was asked.
	Verdict tlwire.Verdict
	// Status is the HTTP status if the engine answered with an error, otherwise 0.
	Status int
	// Reason is the reason that the engine gave, or empty.
	Reason string
	// Err is the underlying error.
	Err error
}

// Error returns the cause, the reason if any, and the underlying error.
func (e *Error) Error() string {
	if e.Reason != "" {
		return fmt.Sprintf("engine: %s: %s (%v)", e.Cause, e.Reason, e.Err)
	}
	return fmt.Sprintf("engine: %s: %v", e.Cause, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error {
	return e.Err
}

// IsStalled reports whether an engine made no progress within the stall timeout.
func IsStalled(err error) bool {
	return hasCause(err, Stalled)
}

// IsUnknown reports whether an engine refused because it does not know the stream or the KV cache.
func IsUnknown(err error) bool {
	return isRefused(err, reasonUnknown)
}

// IsFull reports whether an engine refused because it has no memory for the work.
func IsFull(err error) bool {
	return isRefused(err, reasonFull)
}

// IsOldFencingNumber reports whether an engine refused an order whose fencing number is of a former lease.
func IsOldFencingNumber(err error) bool {
	return isRefused(err, reasonOldFencing)
}

func isOtherOwner(err error) bool {
	return isRefused(err, reasonOtherOwner)
}

// IsGap reports whether a stream skipped a token.
func IsGap(err error) bool {
	return hasCause(err, Gap)
}

func isRefused(err error, reason string) bool {
	var e *Error
	return errors.As(err, &e) && e.Cause == Refused && e.Reason == reason
}

func hasCause(err error, c Cause) bool {
	var e *Error
	return errors.As(err, &e) && e.Cause == c
}

// newError returns an error with the cause's verdict and increments the cause's counter, if any.
func (c *Client) newError(a Cause, err error) *Error {
	k := causes[a]
	if k.counter != "" {
		c.options.Count(k.counter, 1)
	}
	return &Error{Cause: a, Verdict: k.verdict, Err: err}
}
