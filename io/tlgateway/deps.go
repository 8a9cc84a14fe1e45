package tlgateway

import (
	"context"
	"net/http"
	"time"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlplace"
	"trefoillanding/core/tlroute"
	"trefoillanding/io/tlbooking"
	"trefoillanding/io/tldirectory"
	"trefoillanding/io/tlguard"
	"trefoillanding/io/tlmeter"
	"trefoillanding/io/tlprober"
	"trefoillanding/io/tlregistry"
	"trefoillanding/io/tlsend"
	"trefoillanding/io/tlslotter"
	"trefoillanding/io/tltrace"
)

// Wire encodes and decodes the HTTP messages of callers and engines.
type Wire struct {
	// DecodeCall reads the router's fields from a request header.
	DecodeCall func(http.Header) tlcall.Call
	// CleanRequest returns the part of a request header that may be passed on.
	CleanRequest func(http.Header) http.Header
	// EncodeOrganisation sets the name of a request's organisation, or removes it if empty.
	EncodeOrganisation func(h http.Header, name string)
	// CleanAnswer returns the part of an answer header that may be passed on.
	CleanAnswer func(http.Header) http.Header
	// DecodePrefilled returns the KV cache handle in an engine's answer to a prefill.
	DecodePrefilled func(body []byte) (string, error)
	// ReleaseCall returns the method and path of the call that frees a handle.
	ReleaseCall func(handle string) (method, path string)
}

// Reservations reserves memory at engines through the service's home instance.
type Reservations struct {
	// Reserve waits for a reservation and returns the engines chosen, or why the request was refused.
	Reserve func(ctx context.Context, service string, r tlplace.Request) (tlplace.Decision, error)
	// Report tells the home how a request with a reservation went on; engine may be empty.
	Report func(service, request string, e tlbooking.Event, engine string)
	// ReportAnswer does the same with the speed of the answer that the event ends.
	ReportAnswer func(service, request string, e tlbooking.Event, engine string, a tlplace.Answer)
}

// Quotas charges requests to the quotas of their organisations.
type Quotas struct {
	// Admit charges a request, and says whether it is within the quota.
	Admit func(context.Context, tlmeter.Charge) tlmeter.Decision
	// GiveBack returns what a request was charged that has not run and never will.
	GiveBack func(tlmeter.Charge)
	// Tolerance is the fraction of its quota, and Slack what beyond that for a short time,
	// by which an organisation may exceed it.
	Tolerance, Slack float64
	// Window is the time over which the operator checks quotas.
	Window time.Duration
}

// Deps holds the dependencies of a gateway.
type Deps struct {
	// Wire encodes and decodes messages.
	Wire Wire
	// Table returns the configuration in force, or nil before the first.
	Table func() *tlroute.Table
	// BehindFor returns for how long a newer configuration has been known than the one in force.
	BehindFor func() time.Duration
	// Directory lists the endpoints and their health.
	Directory *tldirectory.Directory
	// Sender sends requests to endpoints.
	Sender *tlsend.Sender
	// Reservations reserves memory for generations.
	Reservations Reservations
	// Quotas charges requests to the quotas of their organisations.
	Quotas Quotas
	// Slots has the slots of contended services assigned.
	Slots *tlslotter.Slotter
	// Guard knows which requests are kept from endpoints, since they crash them.
	Guard *tlguard.Guard
	// Origins knows which versions began streams.
	Origins *tlregistry.Registry
	// Incarnation asks an engine for its incarnation; 0 if it doesn't tell.
	Incarnation func(context.Context, tlendpoint.Endpoint) (int64, error)
	// MayHaveEnded reports whether an endpoint other than one that leaves refuses connections,
	// and no other instance is known to reach it.
	MayHaveEnded func(context.Context, tlendpoint.Endpoint) bool
	// Prober knows whether this instance reaches endpoints.
	Prober *tlprober.Prober
	// Forward gives a request to another instance, and returns its answer and its name; the
	// error is a *tlsend.Error.
	Forward func(context.Context, Forward) (r *tlsend.Reply, peer string, err error)
	// Budget limits retries and hedged requests.
	Budget *RetryBudget
	// Memory bounds what requests hold; nothing is bounded if it is nil.
	Memory *Memory
	// OnReceived, if set, is called with each request that has been received whole; it reports
	// whether the request's connection stays open for the answer.
	OnReceived func(*http.Request) bool
	// IsDraining reports whether the instance is draining.
	IsDraining func() bool
	// Now returns the current time.
	Now func() time.Time
	// Random returns a random number in [0, 1).
	Random func() float64
	// Traces records the decisions on each request.
	Traces *tltrace.Recorder
	// Count increments the counter of a name.
	Count func(reason string)
	// OnPanic is called, in the goroutine that panicked, with a panic that a request met.
	OnPanic func(request string, cause any)
	// ObserveLatency records the time to an answer, or to the first event of a stream.
	ObserveLatency func(kind tlroute.Kind, d time.Duration)
}
