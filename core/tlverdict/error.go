package tlverdict

import (
	"errors"
	"fmt"
	"net/http"
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

// After returns the error with advice to come back after d.
func (e *Error) After(d time.Duration) *Error {
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
	BadBody:           notRun(http.StatusBadRequest),
	BadHeader:         notRun(http.StatusBadRequest),
	HeaderTooLarge:    notRun(http.StatusBadRequest),
	NotAllowed:        notRun(http.StatusForbidden),
	ConfigRejected:    notRun(http.StatusBadRequest),
	ConfigConflict:    notRun(http.StatusBadRequest),
	ConfigUnknown:     mayHaveRun(http.StatusGatewayTimeout),
	BadEventID:        notRun(http.StatusBadRequest),
	MissingKey:        notRun(http.StatusBadRequest),
	KeyTooOld:         mayHaveRun(http.StatusConflict),
	KeyAhead:          notRun(http.StatusBadRequest),
	AnswerNotKept:     {tlwire.VerdictRan, http.StatusConflict},
	KeyReused:         notRun(http.StatusBadRequest),
	UnknownService:    notRun(http.StatusNotFound),
	UnknownModel:      notRun(http.StatusNotFound),
	UnknownPath:       notRun(http.StatusNotFound),
	UnknownMethod:     notRun(http.StatusMethodNotAllowed),
	BodyTooLarge:      notRun(http.StatusRequestEntityTooLarge),
	PromptTooLong:     notRun(http.StatusRequestEntityTooLarge),
	QueueFull:         notRun(http.StatusTooManyRequests),
	WaitTooLong:       notRun(http.StatusTooManyRequests),
	PoolBusy:          notRun(http.StatusServiceUnavailable),
	OrganisationLimit: notRun(http.StatusTooManyRequests),
	TooManyRequests:   notRun(http.StatusTooManyRequests),
	NoEndpoint:        notRun(http.StatusServiceUnavailable),
	NoHome:            notRun(http.StatusServiceUnavailable),
	NoConfig:          notRun(http.StatusServiceUnavailable),
	LogUnavailable:    notRun(http.StatusServiceUnavailable),
	LogBehind:         notRun(http.StatusServiceUnavailable),
	Draining:          notRun(http.StatusServiceUnavailable),
	CallerGone:        notRun(http.StatusServiceUnavailable),
	EngineFailed:      mayHaveRun(http.StatusBadGateway),
	EndpointFailed:    mayHaveRun(http.StatusBadGateway),
	RetriesSpent:      mayHaveRun(http.StatusBadGateway),
	EndpointTimeout:   mayHaveRun(http.StatusGatewayTimeout),
	StreamGone:        mayHaveRun(http.StatusConflict),
	StreamTaken:       mayHaveRun(http.StatusConflict),
	ClaimHeld:         mayHaveRun(http.StatusConflict),
	Internal:          mayHaveRun(http.StatusBadGateway),
}
