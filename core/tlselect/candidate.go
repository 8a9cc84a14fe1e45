package tlselect

import "net/netip"

// Candidate is an entry instance that a caller may be directed to.
type Candidate struct {
	// Name is the name of the instance.
	Name string
	// Address is the address on which it listens for callers.
	Address netip.AddrPort
	// DataCentre is the data centre of the instance.
	DataCentre string
	// InFlight is the number of requests in flight in its last report.
	InFlight int
	// IsSuspect says that no heartbeat has arrived from the instance recently.
	IsSuspect bool
}
