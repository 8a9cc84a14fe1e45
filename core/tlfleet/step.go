package tlfleet

import "trefoillanding/core/tlwire"

// EngineOrder is one order to one engine; its fencing number is set by who sends it.
type EngineOrder struct {
	Engine tlwire.Engine
	Order  tlwire.Order
}
