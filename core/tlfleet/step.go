package tlfleet

import "trefoillanding/core/tlwire"

// Step is one order to one engine; its fencing number is set by who sends it.
type Step struct {
	Engine tlwire.Engine
	Order  tlwire.Order
}
