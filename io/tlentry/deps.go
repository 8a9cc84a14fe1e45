package tlentry

import (
	"context"
	"net/http"
	"time"

	"trefoillanding/core/tlconfig"
	"trefoillanding/core/tleventid"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlmetric"
	"trefoillanding/io/tlrelay"
)

// Deps holds the dependencies of an Entry.
type Deps struct {
	// Settings are the settings of the instance, with all defaults filled in.
	Settings tlwire.Settings
	// Config returns the configuration in force with its generation, or nil before there is one.
	Config func() (uint64, *tlconfig.Config)
	// Relay serves completions.
	Relay *tlrelay.Relay
	// Plain serves a call of a plain service.
	Plain func(ctx context.Context, s tlwire.Service, call PlainCall) (PlainAnswer, error)
	// Entries returns the instances that callers may use, best first.
	Entries func(service string) tlwire.Entries
	// Draining reports whether this instance is draining.
	Draining func() bool
	// Operator serves the operators' calls below /v1/operator/.
	Operator http.Handler
	// Signer parses and verifies event ids.
	Signer *tleventid.Signer
	// NewID returns a new request id.
	NewID func() string
	// Now returns the current time.
	Now func() time.Time
	// Metrics holds the counters and serves them.
	Metrics *tlmetric.Set
}

// PlainCall is a caller's call of a plain service.
type PlainCall struct {
	// Method is the HTTP method.
	Method string
	// Path is the path below the service, with a leading slash.
	Path string
	// Query is the raw query.
	Query string
	// Header is the caller's header.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// PlainAnswer is the endpoint's answer.
type PlainAnswer struct {
	// Status is the HTTP status.
	Status int
	// Header is the endpoint's header without the hop-by-hop fields.
	Header http.Header
	// Body is the whole body.
	Body []byte
}
