package tlselect

import "net/netip"

// Candidate is an entry instance that a caller may be sent to.
type Candidate struct {
	// Name is the instance.
	Name string
	// Address is where it listens for callers.
	Address netip.AddrPort
	// DataCentre is where it stands.
	DataCentre string
	// InFlight counts the requests that it served when it was last heard of.
	InFlight int
	// IsSuspect says that nothing was heard of it for a while.
	IsSuspect bool
}
