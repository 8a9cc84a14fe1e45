package tlmember

import (
	"errors"
	"math"

	"trefoillanding/core/tlwire"
)

var (
	errNoEntry     = errors.New("not the entry of an instance that takes requests")
	errBadAddress  = errors.New("an address that no instance can have")
	errBadCapacity = errors.New("a capacity that no instance can have")
)

// maxCapacity bounds the capacity of an instance, as its settings do.
const maxCapacity = 1024

// CheckEntry returns why an entry in the list of instances is not that of one which takes
// requests. Capacities are compared, so that one that is no number would leave no largest.
func CheckEntry(e tlwire.Instance) error {
	isKnownState := e.State == tlwire.InstanceStateLive || e.State == tlwire.InstanceStateLeaving
	switch {
	case e.Name == "" || e.Kind != tlwire.InstanceKindEntry || !isKnownState:
		return errNoEntry
	case !e.Address.IsValid() || e.Address.Port() == 0 || e.PeerAddress.IsValid() && e.PeerAddress.Port() == 0:
		return errBadAddress
	case math.IsNaN(e.Capacity) || e.Capacity < 0 || e.Capacity > maxCapacity:
		return errBadCapacity
	}
	return nil
}
