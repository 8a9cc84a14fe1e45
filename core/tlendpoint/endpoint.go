package tlendpoint

import "net/netip"

// Role is the part of a generation that an engine runs.
type Role int

// The roles of endpoints.
const (
	// NoRole is the role of endpoints that are not engines.
	NoRole Role = iota
	// Prefill engines process prompts.
	Prefill
	// Decode engines generate tokens.
	Decode
)

var roleNames = []string{"NoRole", "Prefill", "Decode"}

// String returns the name of the role.
func (r Role) String() string {
	return roleNames[r]
}

// Endpoint is one process that requests are sent to.
type Endpoint struct {
	// ID identifies the endpoint; a restarted endpoint may reuse it.
	ID string
	// Service is the name of the service that it belongs to.
	Service string
	// Address is the address on which it accepts requests.
	Address netip.AddrPort
	// DataCentre is the data centre that it runs in.
	DataCentre string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Version is the version of its software; empty if it is not given.
	Version string
	// Role is its present role.
	Role Role
	// Incarnation distinguishes restarts under the same ID.
	Incarnation int64
	// Sequence rises with each entry that an incarnation writes; 0 if it is not given.
	Sequence int64
	// IsDraining says that it is shutting down and takes no new requests.
	IsDraining bool
}

// IsSameIncarnation reports whether both are the same incarnation of the same endpoint.
func (e Endpoint) IsSameIncarnation(o Endpoint) bool {
	return e.ID == o.ID && e.Incarnation == o.Incarnation && e.Address == o.Address && e.Service == o.Service
}
