package tlgateway

import (
	"context"
	"net/http"
	"time"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlplace"
	"trefoillanding/core/tlroute"
	"trefoillanding/io/tlbooking"
	"trefoillanding/io/tldirectory"
	"trefoillanding/io/tlsend"
	"trefoillanding/io/tltrace"
)

// Wire spells what callers and engines say.
type Wire struct {
	// DecodeCall reads what a request says of itself.
	DecodeCall func(http.Header) tlcall.Call
	// CleanRequest returns a request's header as it may be passed on.
	CleanRequest func(http.Header) http.Header
	// CleanAnswer returns an answer's header as it may be passed on.
	CleanAnswer func(http.Header) http.Header
	// DecodePrefilled returns the handle in an engine's answer to a prefill.
	DecodePrefilled func(body []byte) (string, error)
	// ReleaseCall returns the call that frees a handle.
	ReleaseCall func(handle string) (method, path string)
}

// Places gets places at engines.
type Places struct {
	Place  func(ctx context.Context, service string, r tlplace.Request) (tlplace.Decision, error)
	Report func(service, request string, e tlbooking.Event, engine string)
}

// Deps is what a gateway needs from its surroundings.
type Deps struct {
	Wire Wire
	// Table returns the configuration in force; nil before the first.
	Table func() *tlroute.Table
	// Directory has the endpoints.
	Directory *tldirectory.Directory
	// Sender sends to endpoints.
	Sender *tlsend.Sender
	// Places gets places for generations.
	Places Places
	// Budget holds what may be sent again.
	Budget *RetryBudget
	// IsLeaving says whether the instance is draining.
	IsLeaving func() bool
	// Now is the clock.
	Now func() time.Time
	// Random returns a number from 0 up to 1.
	Random func() float64
	// Traces takes the decisions on each request.
	Traces *tltrace.Recorder
	// Count raises a counter.
	Count func(reason string)
	// ObserveLatency takes the time of an answer of a kind: to the first event for streams.
	ObserveLatency func(kind tlroute.Kind, d time.Duration)
}
