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

// New returns an error with the verdict and HTTP status that belong to the reason.
func New(r Reason, format string, args ...any) *Error {
	k := responses[r]
	return &Error{
		Verdict: k.verdict,
		Status:  k.status,
		Reason:  r,
		Message: fmt.Sprintf(format, args...),
	}
}

// Error returns the reason and the message as "reason: message".
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Reason, e.Message)
}

// WithRetryAfter returns a copy of the error that advises the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Body returns the refusal that is sent to the caller; its RetryAfter is in seconds.
func (e *Error) Body() tlwire.Refusal {
	return tlwire.Refusal{
		Verdict:    e.Verdict,
		Reason:     string(e.Reason),
		Message:    e.Message,
		RetryAfter: e.RetryAfter.Seconds(),
	}
}

// Of returns the *Error in err's chain, or a new one with the reason Internal and err's text.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}

// NotRun reports whether err proves that the request did not run.
func NotRun(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Verdict == tlwire.VerdictNotRun
}

// response is the verdict and HTTP status with which a reason is reported.
type response struct {
	verdict tlwire.Verdict
	status  int
}

func notRun(status int) response {
	return response{tlwire.VerdictNotRun, status}
}

func mayHaveRun(status int) response {
	return response{tlwire.VerdictMayHaveRun, status}
}

// responses maps every reason to its response.
var responses = map[Reason]response{
	BadBody:         notRun(statusBadRequest),
	BadHeader:       notRun(statusBadRequest),
	HeaderTooLarge:  notRun(statusBadRequest),
	UnknownKey:      notRun(statusUnauthorized),
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
	BodyTooSlow:     notRun(statusRequestTimeout),
	MemoryFull:      notRun(statusServiceUnavailable),
	PromptTooLong:   notRun(statusRequestEntityTooLarge),
	PartQuarantined: notRun(statusServiceUnavailable),
	CutOff:          notRun(statusServiceUnavailable),
	Draining:        notRun(statusServiceUnavailable),
	OriginUnknown:   notRun(statusServiceUnavailable),
	OriginUnread:    notRun(statusServiceUnavailable),
	VersionAway:     notRun(statusServiceUnavailable),
	VersionGone:     notRun(statusServiceUnavailable),
	QueueFull:       notRun(statusTooManyRequests),
	QuotaSpent:      notRun(statusTooManyRequests),
	WaitTooLong:     notRun(statusTooManyRequests),
	PoolBusy:        notRun(statusServiceUnavailable),
	TooManyRequests: notRun(statusTooManyRequests),
	NoEndpoint:      notRun(statusServiceUnavailable),
	NoHome:          notRun(statusServiceUnavailable),
	ConfigBehind:    notRun(statusServiceUnavailable),
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
