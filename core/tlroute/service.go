package tlroute

import "time"

// Service is a set of interchangeable endpoints.
type Service struct {
	// Name is unique within a configuration.
	Name string
	// Engine describes the endpoints if they are model engines, and is nil otherwise.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// Memory is the KV memory of an engine in tokens.
	Memory int
	// Stride is the number of tokens in each event of an answer.
	Stride int
	// HandleLifetime is how long an engine keeps the result of a prefill.
	HandleLifetime time.Duration
	// RoleChangeTime is how long an engine is unavailable while it changes its role.
	RoleChangeTime time.Duration
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	// HeaderBytes is the maximum size of a request header.
	HeaderBytes int
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
	// HeaderTimeout is the timeout for reading a request header.
	HeaderTimeout time.Duration
	// IdleTimeout is the longest time between two requests on a connection.
	IdleTimeout time.Duration
}
