package tlfleet

import "trefoillanding/core/tlwire"

// EngineOrder is one order to one engine; the sender sets its fencing number.
type EngineOrder struct {
	Engine tlwire.Engine
	Order  tlwire.Order
}
