package tlcall

import (
	"net/netip"
	"time"
)

// Stage says which part of a generation a send asks for.
type Stage int

// The stages of sends.
const (
	// Whole runs the request.
	Whole Stage = iota
	// Prefill reads the prompt and keeps it under a handle.
	Prefill
)

// Send is what an endpoint is told with a request.
type Send struct {
	// Endpoint is the only one that may run the request.
	Endpoint string
	// TimeLeft is the time until the caller gives up; 0 sets no bound.
	TimeLeft time.Duration
	// Stage says what is asked for.
	Stage Stage
	// Source is where the prompt was read; it is not set where it was not.
	Source Source
	// ResumeAfter is the last event that the caller has.
	ResumeAfter string
}

// Source names the result of a prefill at the engine that holds it.
type Source struct {
	Address netip.AddrPort
	Handle  string
}

// IsSet says whether there is a source.
func (s Source) IsSet() bool {
	return s.Handle != ""
}

// Answer is what the header of an endpoint's answer says of itself.
type Answer struct {
	// ID is the attempt that it answers; empty where it does not say.
	ID string
	// NotRun says that the endpoint did not run the request and never will.
	NotRun bool
	// IsMisdirected says that another endpoint has the address.
	IsMisdirected bool
}
