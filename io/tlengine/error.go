package tlengine

import (
	"errors"
	"fmt"

	"trefoillanding/core/tlwire"
)

// Cause says how a call to an engine failed.
type Cause int

// The causes for which a call to an engine fails.
const (
	// Refused means that the engine answered that it does not do it.
	Refused Cause = iota
	// Unreachable means that there was no connection to send the call on.
	Unreachable
	// Lost means that the answer was lost or cut short.
	Lost
	// Malformed means that the answer can't be read.
	Malformed
	// WrongAttempt means that the answer belongs to another attempt.
	WrongAttempt
	// Stalled means that the engine brought nothing for too long.
	Stalled
	// Gap means that the stream left a token out.
	Gap
	// Failed means that the engine gave up what it had begun.
	Failed
	// Ended means that the caller's context or the client has ended.
	Ended
)

// kind is what is known of each cause.
type kind struct {
	name    string
	verdict tlwire.Verdict
	counter string
}

var kinds = map[Cause]kind{
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
	return kinds[c].name
}

// The reasons of refusals that callers tell apart.
const (
	reasonUnknown    = "Unknown"
	reasonFull       = "Full"
	reasonOtherOwner = "OtherOwner"
	reasonOldFencing = "OldFencingNumber"
)

// Error is a call to an engine that failed, and whether its work may have run.
type Error struct {
	// Cause says how it failed.
	Cause Cause
	// Verdict says whether the engine may have done what was asked.
	Verdict tlwire.Verdict
	// Status is the engine's HTTP status, 0 where there was none.
	Status int
	// Reason is the engine's own word, empty where there was none.
	Reason string
	// Err is what happened below, if anything.
	Err error
}

// Error returns the cause and what is known of it.
func (e *Error) Error() string {
	if e.Reason != "" {
		return fmt.Sprintf("engine: %s: %s (%v)", e.Cause, e.Reason, e.Err)
	}
	return fmt.Sprintf("engine: %s: %v", e.Cause, e.Err)
}

// Unwrap returns what happened below.
func (e *Error) Unwrap() error {
	return e.Err
}

// IsStalled says whether an engine brought nothing for too long.
func IsStalled(err error) bool {
	return is(err, Stalled)
}

// IsUnknown says whether an engine does not know the stream or the cache.
func IsUnknown(err error) bool {
	return isRefused(err, reasonUnknown)
}

// IsFull says whether an engine has no memory for the work.
func IsFull(err error) bool {
	return isRefused(err, reasonFull)
}

// IsOldFencingNumber says whether an engine refused an order of a former lease.
func IsOldFencingNumber(err error) bool {
	return isRefused(err, reasonOldFencing)
}

func isOtherOwner(err error) bool {
	return isRefused(err, reasonOtherOwner)
}

// IsGap says whether a stream left a token out.
func IsGap(err error) bool {
	return is(err, Gap)
}

func isRefused(err error, reason string) bool {
	var e *Error
	return errors.As(err, &e) && e.Cause == Refused && e.Reason == reason
}

func is(err error, c Cause) bool {
	var e *Error
	return errors.As(err, &e) && e.Cause == c
}

// fail makes an error and raises its counter.
func (c *Client) fail(a Cause, err error) *Error {
	k := kinds[a]
	if k.counter != "" {
		c.options.Count(k.counter, 1)
	}
	return &Error{Cause: a, Verdict: k.verdict, Err: err}
}
