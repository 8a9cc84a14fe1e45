package tlverdict

import (
	"errors"
	"fmt"
	"time"

	"trefoillanding/core/tlwire"
)

// Error says why a request was refused or failed, and whether it may have run.
type Error struct {
	Verdict    tlwire.Verdict
	Status     int
	Reason     Reason
	Message    string
	RetryAfter time.Duration
}

// New returns an error with the verdict and status that the reason's kind has.
func New(r Reason, format string, args ...any) *Error {
	k := kinds[r]
	return &Error{
		Verdict: k.verdict,
		Status:  k.status,
		Reason:  r,
		Message: fmt.Sprintf(format, args...),
	}
}

// Error returns the reason and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Reason, e.Message)
}

// WithRetryAfter returns the error with advice to come back after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Body returns what the caller is sent.
func (e *Error) Body() tlwire.Refusal {
	return tlwire.Refusal{
		Verdict:    e.Verdict,
		Reason:     string(e.Reason),
		Message:    e.Message,
		RetryAfter: e.RetryAfter.Seconds(),
	}
}

// Of returns the verdict error inside err, or an Internal one that wraps it.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}

// NotRun says whether err proves that the request did not run.
func NotRun(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Verdict == tlwire.VerdictNotRun
}

type kind struct {
	verdict tlwire.Verdict
	status  int
}

func notRun(status int) kind {
	return kind{tlwire.VerdictNotRun, status}
}

func mayHaveRun(status int) kind {
	return kind{tlwire.VerdictMayHaveRun, status}
}

var kinds = map[Reason]kind{
	BadBody:         notRun(statusBadRequest),
	BadHeader:       notRun(statusBadRequest),
	HeaderTooLarge:  notRun(statusBadRequest),
	NotAllowed:      notRun(statusForbidden),
	ConfigRejected:  notRun(statusBadRequest),
	ConfigConflict:  notRun(statusBadRequest),
	ConfigUnknown:   mayHaveRun(statusGatewayTimeout),
	BadEventID:      notRun(statusBadRequest),
	MissingKey:      notRun(statusBadRequest),
	KeyTooOld:       mayHaveRun(statusConflict),
	KeyAhead:        notRun(statusBadRequest),
	AnswerNotKept:   {tlwire.VerdictRan, statusConflict},
	KeyReused:       notRun(statusBadRequest),
	UnknownService:  notRun(statusNotFound),
	UnknownModel:    notRun(statusNotFound),
	UnknownPath:     notRun(statusNotFound),
	UnknownMethod:   notRun(statusMethodNotAllowed),
	BodyTooLarge:    notRun(statusRequestEntityTooLarge),
	PromptTooLong:   notRun(statusRequestEntityTooLarge),
	QueueFull:       notRun(statusTooManyRequests),
	WaitTooLong:     notRun(statusTooManyRequests),
	PoolBusy:        notRun(statusServiceUnavailable),
	TooManyRequests: notRun(statusTooManyRequests),
	NoEndpoint:      notRun(statusServiceUnavailable),
	NoHome:          notRun(statusServiceUnavailable),
	NoConfig:        notRun(statusServiceUnavailable),
	LogUnavailable:  notRun(statusServiceUnavailable),
	LogBehind:       notRun(statusServiceUnavailable),
	CallerGone:      notRun(statusServiceUnavailable),
	EndpointFailed:  mayHaveRun(statusBadGateway),
	RetriesSpent:    mayHaveRun(statusBadGateway),
	EndpointTimeout: mayHaveRun(statusGatewayTimeout),
	StreamGone:      mayHaveRun(statusConflict),
	StreamTaken:     mayHaveRun(statusConflict),
	ClaimHeld:       mayHaveRun(statusConflict),
	Internal:        mayHaveRun(statusBadGateway),
}
