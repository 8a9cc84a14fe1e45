package tlendpoint

import "net/netip"

// Role is an engine's part in generations.
type Role int

// The roles of endpoints.
const (
	// NoRole is that of endpoints that are not engines.
	NoRole Role = iota
	// Prefill engines read prompts.
	Prefill
	// Decode engines generate.
	Decode
)

var roleNames = []string{"NoRole", "Prefill", "Decode"}

// String returns the role's name.
func (r Role) String() string {
	return roleNames[r]
}

// Endpoint is one process that requests are sent to.
type Endpoint struct {
	// ID names it; a restarted one may have it again.
	ID string
	// Service is what it belongs to.
	Service string
	// Address is where it takes requests.
	Address netip.AddrPort
	// DataCentre is where it stands.
	DataCentre string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Role is its part in generations.
	Role Role
	// Incarnation tells incarnations of one ID apart.
	Incarnation int64
	// IsDraining says that it is leaving.
	IsDraining bool
}

// IsSameIncarnation says whether both are one incarnation of one endpoint.
func (e Endpoint) IsSameIncarnation(o Endpoint) bool {
	return e.ID == o.ID && e.Incarnation == o.Incarnation && e.Address == o.Address && e.Service == o.Service
}
