package tlroute

import "time"

// Service is a set of endpoints that do the same.
type Service struct {
	// Name is unique within a configuration.
	Name string
	// Engine describes the endpoints where they are model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Memory is the room for tokens.
	Memory int
	// HandleLifetime is how long the result of a prefill is kept.
	HandleLifetime time.Duration
	// RoleChange is how long an engine is away while it changes its role.
	RoleChange time.Duration
}

// Limits bounds what callers may send.
type Limits struct {
	// HeaderBytes is the largest header.
	HeaderBytes int
	// BodyBytes is the largest body.
	BodyBytes int64
	// HeaderTimeout bounds the reading of a header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between requests of a connection.
	IdleTimeout time.Duration
}
