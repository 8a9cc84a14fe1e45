package tlcall

import (
	"net/netip"
	"time"
)

// Stage is the part of a generation that a send asks for.
type Stage int

// The stages of sends.
const (
	// Whole runs the whole request.
	Whole Stage = iota
	// Prefill processes the prompt and keeps the result under a handle.
	Prefill
)

// Send is the metadata that is sent to an endpoint with a request.
type Send struct {
	// Endpoint is the ID of the only endpoint that may run the request.
	Endpoint string
	// TimeLeft is the time until the caller's timeout; 0 means no limit.
	TimeLeft time.Duration
	// Stage is the part of the generation to run.
	Stage Stage
	// Source is the result of an earlier prefill; it is not set if there was none.
	Source Source
	// ResumeAfter is the id of the last event that the caller received.
	ResumeAfter string
	// IsAdmitted says that a permit for the send was taken before.
	IsAdmitted bool
	// IsFollowUp says that a request which has been sent can't go on without this one.
	IsFollowUp bool
}

// Source identifies the result of a prefill by its handle and the address of the engine that holds it.
type Source struct {
	Address netip.AddrPort
	Handle  string
}

// IsSet reports whether there is a source.
func (s Source) IsSet() bool {
	return s.Handle != ""
}

// Answer is the metadata in the header of an endpoint's answer.
type Answer struct {
	// ID is the ID of the attempt that it answers; empty if it is not given.
	ID string
	// IsSealed says that it bears the endpoint's seal, as each answer to a request that ran does.
	IsSealed bool
	// NotRun says that the endpoint did not run the request and never will, so that it is safe to retry.
	NotRun bool
	// IsMisdirected says that another endpoint now uses the address.
	IsMisdirected bool
	// IsLeaving says that the endpoint is shutting down and takes no new requests.
	IsLeaving bool
	// RestFor is how long the endpoint wants no requests from this instance; 0 if it does not say so.
	RestFor time.Duration
	// Limit is what the answer says of the requests that the endpoint takes.
	Limit Limit
}
